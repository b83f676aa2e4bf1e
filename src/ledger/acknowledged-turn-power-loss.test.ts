/**
 * Power failure of all members at the moment when a kept turn is acknowledged: its value must be on the disks of a
 * majority. A copy that a member only holds in memory must not count.
 */
import { describe, expect, it, vi } from 'vitest';
import { DiskCluster } from '../../tests/support/simulated-disk-cluster.js';
import { waitUntil } from '../../tests/support/wait-until.js';
import { callLeader, checkConsensusOptions } from '../consensus/index.js';
import { LEDGER_GROUP } from './ledger-groups.js';
import { SETTLE } from './messages.js';
import { ValueCopySender } from './value-copy-sender.js';

vi.mock('node:fs/promises', async (importOriginal) => {
  const { withSimulatedDisks } = await import('../../tests/support/simulated-disk-files.js');
  return withSimulatedDisks(await importOriginal());
});

const MEMBERS = [0, 1, 2];
const QUORUM = 2;
const SEEDS = 20;
const TURNS = 8;
const RETENTION_MS = 600_000;
/** Syncs take different times, so that a member may hold a copy in memory long before its log has it. */
const MAX_SYNC_MS = 20;
const LIMITS = { timeoutMs: 5_000 };

function turnNamed(turn: string) {
  const keep = { input: Buffer.from(turn), output: Buffer.from(';'), retentionMs: RETENTION_MS };
  return { program: 'p', attempt: turn, spentTokens: 1, keep };
}

/** Starts each member alone, so that it cannot fetch the values. @returns the number of members that hold a turn */
async function countDurableCopies(cluster: DiskCluster, turns: readonly string[]) {
  const copies = new Map(turns.map((turn) => [turn, 0]));
  for (const index of MEMBERS) {
    await cluster.start(index);
    const [member] = cluster.serving;
    for (const turn of turns)
      if (member?.process.values.has(turn)) copies.set(turn, copies.get(turn)! + 1);
    cluster.killAll();
  }
  return copies;
}

async function acknowledgeThenLosePower(seed: number): Promise<string[]> {
  const consensus = checkConsensusOptions({ heartbeatIntervalMs: 30, electionTimeoutMs: 150 });
  const name = `acknowledged-${seed}`;
  const cluster = new DiskCluster({ name, seed, consensus, maxSyncMs: MAX_SYNC_MS });
  await cluster.bootstrap();
  await waitUntil('a leader', () => cluster.leader !== undefined);
  const client = cluster.createClient('gateway');
  const sender = new ValueCopySender(cluster.network.notifierOf('gateway'));
  const turns = Array.from({ length: TURNS }, (_, count) => `turn-${count}`);
  for (const turn of turns) {
    const settlement = turnNamed(turn);
    const settle = () => {
      const request = { settlements: [settlement], copiedTo: sender.send(settlement) };
      return callLeader(client, LEDGER_GROUP, SETTLE, request, LIMITS);
    };
    let response = await settle();
    if (response.copyTargets) sender.updateTargets(response.copyTargets);
    while (!response.isSettled) response = await settle();
  }
  for (const disk of cluster.disks) disk.losePower('drops-all');
  const copies = await countDurableCopies(cluster, turns);
  const short = [...copies].filter(([, count]) => count < QUORUM);
  return [...cluster.faults, ...short.map(([turn, count]) => `seed ${seed}: ${turn} on ${count}`)];
}

describe('a kept turn that was just acknowledged', () => {
  it('is on the disks of a majority', async () => {
    const seeds = Array.from({ length: SEEDS }, (_, index) => index + 1);
    const failures = await Promise.all(seeds.map(acknowledgeThenLosePower));
    expect(failures.flat()).toEqual([]);
  });
});
