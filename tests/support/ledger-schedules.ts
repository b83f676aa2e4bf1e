/**
 * Drawn schedules of kills, losses of power and lost disks of the ledger's members under a load of kept turns. Every
 * acknowledged turn must be readable once all members are back, and no spent tokens may be missing.
 */
import { setImmediate } from 'node:timers/promises';
import { type SeededRandom, monotonicMs, sleep } from '../../src/common/index.js';
import { type ConsensusOptions, checkConsensusOptions } from '../../src/consensus/index.js';
import { type SettleCommand, ValueCopySender } from '../../src/ledger/index.js';
import { encodeValue } from '../../src/wire/index.js';
import { fuzzSeeds } from './fuzz-seeds.js';
import { type FaultSchedule, playSchedulesOf, playUnderLoad } from './schedule-runner.js';
import { DiskCluster } from './simulated-disk-cluster.js';
import { ChainWriter, readUntilCorrect } from './simulated-disk-load.js';
import { type NameDurability, createDecorrelatedRandom } from './simulated-disk.js';
import { waitUntil } from './wait-until.js';

/** Maximum time in which the group must commit and serve all histories after its members are back. */
const RECOVERY_BOUND_MS = 12_000;
const WRITERS = 4;
/** Number of histories read concurrently, limited to avoid overload. */
const READ_CONCURRENCY = 100;
const MAX_FAULT_EVENTS = 4;
/** Maximum time without faults between two events, in milliseconds. */
const MAX_QUIET_MS = 300;
/** Maximum number of disk operations until a scheduled kill. */
const MAX_OPERATIONS_AHEAD = 30;
const SHORT_ABSENCE_MS = 150;
/** Long enough for the other members to take a snapshot, so that the member receives one. */
const LONG_ABSENCE_MS = 600;
/** Advance of the ledger's clock after each event, beyond the retention of short-lived turns, in milliseconds. */
const CLOCK_STEP_MS = 12_000;

const TIMING: ConsensusOptions = {
  heartbeatIntervalMs: 30,
  electionTimeoutMs: 150,
  startupElectionTimeoutMs: 20,
  disconnectTimeoutMs: 60,
};

type Fault = 'kill' | 'power' | 'disk';

/** Simultaneous faults by member; undefined for members without a fault. */
type FaultEvent = readonly (Fault | undefined)[];

const MEMBERS = [0, 1, 2];

function faultOne(random: SeededRandom, one: Fault, others?: Fault): FaultEvent {
  const target = random.pick(MEMBERS);
  return MEMBERS.map((index) => (index === target ? one : others));
}

function faultAll(fault: Fault): FaultEvent {
  return MEMBERS.map(() => fault);
}

/** Draws kills and power failures, without disk losses. */
function drawEventWithoutDiskLoss(random: SeededRandom): FaultEvent {
  const kinds = [
    () => faultOne(random, 'kill'),
    () => faultOne(random, 'power'),
    () => faultOne(random, 'kill', 'power'),
    () => faultAll('kill'),
    () => faultAll('power'),
  ];
  return random.pick(kinds)();
}

function drawEvent(random: SeededRandom): FaultEvent {
  if (random.chance(0.6)) return drawEventWithoutDiskLoss(random);
  return faultOne(random, 'disk', random.pick(['power', 'power', 'kill', undefined]));
}

class Schedule implements FaultSchedule {
  private readonly random: SeededRandom;
  readonly label: string;
  private readonly cluster: DiskCluster;
  private readonly writers: ChainWriter[];

  /** @param groups number of ledger groups */
  constructor(seed: number, groups: number) {
    this.random = createDecorrelatedRandom(seed);
    const { random } = this;
    const nameDurability: NameDurability = random.pick(['file-sync', 'folder-sync-only']);
    this.label = `seed ${seed}, ${nameDurability}`;
    this.cluster = new DiskCluster({
      name: `seed-${seed}`,
      seed,
      groups,
      consensus: checkConsensusOptions({
        ...TIMING,
        snapshotEveryEntries: random.integer(5, 60),
        trailingEntries: random.integer(0, 20),
      }),
      nameDurability,
      maxSyncMs: random.pick([0, 3, 10]),
    });
    const { cluster } = this;
    this.writers = Array.from({ length: WRITERS }, (_, index) => {
      const name = `writer-${index}`;
      const group = cluster.groups[index % cluster.groups.length]!;
      const copies = new ValueCopySender(cluster.network.notifierOf(name), group);
      const client = cluster.createClient(name);
      return new ChainWriter(name, client, copies, random.fork(), undefined, group);
    });
  }

  play(): Promise<string[]> {
    const { cluster, writers, random } = this;
    const findLosses = (): Promise<string[]> => this.findLosses();
    return playUnderLoad({ cluster, writers, findLosses }, async () => {
      const eventCount = random.integer(2, MAX_FAULT_EVENTS);
      for (let count = 0; count < eventCount; count += 1) {
        await sleep(random.integer(0, MAX_QUIET_MS));
        await this.applyAndRecover(drawEvent(random));
      }
    });
  }

  private async applyAndRecover(event: FaultEvent): Promise<void> {
    const { cluster, random } = this;
    await this.applyEvent(event);
    // Further faults may occur during recovery, but no second disk loss.
    if (random.chance(0.3)) await this.applyDuringRecovery();
    await this.restartAll();
    if (event.includes('disk')) {
      if (random.chance(0.4)) await this.applyDuringRecovery();
      await this.restartAll();
      await waitUntil('whole again', () => cluster.isComplete, RECOVERY_BOUND_MS);
    }
    await this.advanceLedgerClock();
  }

  private async applyDuringRecovery(): Promise<void> {
    const { random, cluster } = this;
    const back = MEMBERS.filter((index) => !cluster.disks[index]!.isAlive && random.chance(0.7));
    for (const index of back) void cluster.start(index);
    await sleep(random.integer(0, MAX_QUIET_MS));
    await this.applyEvent(drawEventWithoutDiskLoss(random));
  }

  private async applyEvent(event: FaultEvent): Promise<void> {
    this.cluster.record(`blow ${event.map((fault) => fault ?? 'none').join(' ')}`);
    const waits = [() => this.waitOperations(event), () => this.waitAcknowledgement(), undefined];
    await this.random.pick(waits)?.();
    for (const [index, fault] of event.entries()) {
      if (fault) this.applyFault(index, fault);
    }
  }

  private async restartAll(): Promise<void> {
    const { cluster, random } = this;
    const absenceMs = random.chance(0.3) ? LONG_ABSENCE_MS : SHORT_ABSENCE_MS;
    const stopped = MEMBERS.filter((index) => !cluster.disks[index]!.isAlive);
    await Promise.all(
      stopped.map(async (index) => {
        await sleep(random.integer(0, absenceMs));
        await cluster.start(index);
      }),
    );
    await this.waitUntilServing();
  }

  /** Expires short-lived turns, and with them whole segments of values. */
  private async advanceLedgerClock(): Promise<void> {
    for (const name of this.cluster.groups) {
      const { group, process } = this.cluster.leaderOf(name) ?? {};
      if (!group || !process) continue;
      const nowMs = process.stateMachineOf(name).clockMs + CLOCK_STEP_MS;
      const command: SettleCommand = { kind: 'settle', settlements: [], nowMs };
      // Without a leader the clock advances with the next event.
      await group.propose(encodeValue(command)).catch(() => undefined);
    }
  }

  /** Schedules a kill of one affected member at a disk operation, and waits for it before the other faults. */
  private async waitOperations(event: FaultEvent): Promise<void> {
    const index = event.findIndex((fault) => fault !== undefined);
    const disk = this.cluster.disks[index]!;
    disk.killAt = disk.operations.length + this.random.integer(1, MAX_OPERATIONS_AHEAD);
    const deadline = monotonicMs() + MAX_QUIET_MS;
    while (disk.isAlive && monotonicMs() < deadline) await sleep(0);
  }

  /** Waits for an acknowledgement, after which a turn must not be lost. */
  private async waitAcknowledgement(): Promise<void> {
    const acknowledgements = (): number =>
      this.writers.reduce((sum, { acknowledgedCount }) => sum + acknowledgedCount, 0);
    const before = acknowledgements();
    const deadline = monotonicMs() + MAX_QUIET_MS;
    while (acknowledgements() === before && monotonicMs() < deadline) await setImmediate();
  }

  private applyFault(index: number, fault: Fault): void {
    const disk = this.cluster.disks[index]!;
    if (fault === 'kill') disk.kill();
    else if (fault === 'power') disk.losePower();
    else disk.replaceWithEmpty();
  }

  private async waitUntilServing(): Promise<void> {
    const { cluster } = this;
    await waitUntil('all serve', () => cluster.serving.length === 3, RECOVERY_BOUND_MS);
    for (const name of cluster.groups) {
      const index = (): number => cluster.leaderOf(name)?.group.commitIndex ?? 0;
      await waitUntil('a leader', () => cluster.leaderOf(name) !== undefined, RECOVERY_BOUND_MS);
      const committed = index();
      await waitUntil('commits', () => index() > committed, RECOVERY_BOUND_MS);
    }
  }

  private async findLosses(): Promise<string[]> {
    const reader = this.cluster.createClient('reader');
    const kept = this.writers.flatMap(({ acknowledged, group }) =>
      acknowledged.map((chain) => ({ chain, group })),
    );
    const problems: (string | undefined)[] = [];
    for (let first = 0; first < kept.length; first += READ_CONCURRENCY) {
      const deadline = monotonicMs() + RECOVERY_BOUND_MS;
      const some = kept.slice(first, first + READ_CONCURRENCY);
      const read = some.map(({ chain, group }) => readUntilCorrect(reader, chain, deadline, group));
      problems.push(...(await Promise.all(read)));
      // After the first loss the remaining histories are not checked.
      if (problems.some((problem) => problem !== undefined)) break;
    }
    const lost = problems.filter((problem) => problem !== undefined);
    const report = lost.length > 0 ? [`${lost.length} of ${problems.length} lost, ${lost[0]}`] : [];
    return [...report, ...(await this.findMissingTokens())];
  }

  /** Only a leader that has applied what earlier terms committed knows all tokens; none is not the same as none spent. */
  private async findMissingTokens(): Promise<string[]> {
    const { cluster } = this;
    const missing: string[] = [];
    for (const { group, spentTokens } of this.writers) {
      const leader = (): unknown => cluster.leaderOf(group);
      await waitUntil('a leader that counts', () => leader() !== undefined, RECOVERY_BOUND_MS);
      const budgets = cluster.leaderOf(group)?.process.stateMachineOf(group).budgets;
      for (const [program, tokens] of spentTokens) {
        const committed = budgets?.committedTokens(program) ?? 0;
        if (committed < tokens) missing.push(`${program}: ${committed} of ${tokens} tokens`);
      }
    }
    return missing;
  }
}

/**
 * Plays schedules with seeds as `fuzzSeeds` draws them.
 * @param groups number of ledger groups
 * @returns descriptions of all failures
 */
export function playSchedules(count: number, groups: number): Promise<string[]> {
  return playSchedulesOf(fuzzSeeds([], count), (seed) => new Schedule(seed, groups));
}
