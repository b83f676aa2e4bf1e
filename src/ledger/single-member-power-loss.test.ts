/**
 * Randomized kills and power failures of a single-member group on a simulated disk: a command that was acknowledged or
 * recovered once must be recovered by every later start.
 */
import { describe, expect, it, vi } from 'vitest';
import { fuzzSeeds } from '../../tests/support/fuzz-seeds.js';
import { LoopbackNetwork } from '../../tests/support/loopback-network.js';
import { runKillSchedule } from '../../tests/support/simulated-kills.js';
import {
  type RunningListMember,
  startListMember,
} from '../../tests/support/simulated-disk-group.js';
import {
  type NameDurability,
  SimulatedDisk,
  createDecorrelatedRandom,
} from '../../tests/support/simulated-disk.js';
import { waitUntil } from '../../tests/support/wait-until.js';
import { Deferred, type SeededRandom, sleep } from '../common/index.js';
import type { Member } from '../consensus/index.js';
import { encodeValue } from '../wire/index.js';

vi.mock('node:fs/promises', async (importOriginal) => {
  const { withSimulatedDisks } = await import('../../tests/support/simulated-disk-files.js');
  return withSimulatedDisks(await importOriginal());
});

const ONLY_MEMBER: Member = { id: 'only-id', name: 'only', address: 'only', role: 'voter' };
/** Small enough that recovery finds compactable segments and requests a snapshot at once. */
const SEGMENT_BYTES = 120;
const COMMANDS = 25;
/** Approximate number of disk operations of one process. */
const OPERATIONS = 120;
const MAX_PROCESSES = 5;
const SCHEDULES = 60;
const CONCURRENCY = 20;

class Schedule {
  private readonly random: SeededRandom;
  private readonly disk: SimulatedDisk;
  private readonly network = new LoopbackNetwork();
  /** Items that each later start must recover first, in this order. */
  private acknowledged: string[] = [];
  private commands = 0;

  constructor(private readonly seed: number) {
    this.random = createDecorrelatedRandom(seed);
    const nameDurability: NameDurability = this.random.pick(['file-sync', 'folder-sync-only']);
    this.disk = new SimulatedDisk(`only-${seed}`, { seed, nameDurability });
  }

  /** @returns a description of the failure, if any */
  play(): Promise<string | undefined> {
    const { seed, random, disk } = this;
    const bounds = { maxProcesses: MAX_PROCESSES, operations: OPERATIONS };
    const runProcess = (killAt: number): Promise<void> => this.runProcess(killAt);
    return runKillSchedule({ seed, disk, random, ...bounds, runProcess });
  }

  private async runProcess(killAt: number): Promise<void> {
    const { disk } = this;
    const ending = new Deferred<void>();
    let isOver = false;
    const ended = this.runMember(killAt, ending).catch((error: unknown) => {
      if (!isOver && disk.isAlive) throw error;
    });
    await Promise.race([ended, ending.promise]);
    isOver = true;
    disk.kill();
  }

  private async runMember(killAt: number, ending: Deferred<void>): Promise<void> {
    const { disk, network, random } = this;
    const consensus = {
      heartbeatIntervalMs: 2,
      electionTimeoutMs: 4,
      startupElectionTimeoutMs: random.pick([4, 20]),
      snapshotEveryEntries: random.integer(2, 8),
      trailingEntries: random.integer(0, 4),
    };
    const founders = [ONLY_MEMBER];
    const options = { disk, network, own: ONLY_MEMBER, founders, consensus };
    const member = await startListMember({ ...options, segmentBytes: SEGMENT_BYTES }, killAt);
    member.killed.addEventListener('abort', () => ending.resolve());
    await waitUntil('leading', () => member.group.isCurrentLeader || member.killed.aborted);
    member.killed.throwIfAborted();
    this.checkStart(member);
    await this.work(member);
    if (member.fatal.length > 0) throw new Error(`process failed: ${String(member.fatal[0])}`);
  }

  private checkStart({ machine }: RunningListMember): void {
    const found = machine.items.slice(0, this.acknowledged.length);
    if (found.join() !== this.acknowledged.join()) {
      throw new Error(`found ${machine.items.join()} instead of ${this.acknowledged.join()}`);
    }
    this.acknowledged = [...machine.items];
  }

  private async work({ group, machine, killed }: RunningListMember): Promise<void> {
    for (let count = 0; count < COMMANDS && !killed.aborted; count += 1) {
      this.commands += 1;
      await group.propose(encodeValue(`command-${this.commands}`));
      if (!killed.aborted) this.acknowledged = [...machine.items];
      if (this.random.chance(0.2)) await sleep(1);
    }
  }
}

describe('a single-member group under random kills and power failures', () => {
  it('keeps acknowledged and recovered commands', async () => {
    const failures: string[] = [];
    const seeds = fuzzSeeds([], SCHEDULES);
    while (seeds.length > 0) {
      const together = seeds.splice(0, CONCURRENCY).map((seed) => new Schedule(seed));
      const found = await Promise.all(together.map((schedule) => schedule.play()));
      failures.push(...found.filter((failure) => failure !== undefined));
    }
    expect(failures).toEqual([]);
  });
});
