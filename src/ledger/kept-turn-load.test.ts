/** A burst of kept turns must not saturate the leader's link, which would delay commits long after the burst. */
import { expect, it, vi } from 'vitest';
import {
  BURST_TURNS_PER_SECOND,
  KeptLoad,
  REGULAR_TURNS_PER_SECOND,
  RECOVERY_MS,
  startMeteredLedger,
} from '../../tests/support/kept-load.js';
import { simulateTime } from '../../tests/support/simulated-time.js';
import { waitUntil } from '../../tests/support/wait-until.js';
import { monotonicMs } from '../common/index.js';

vi.mock('node:fs/promises', () => import('../../tests/support/memory-files.js'));

const SEED = 1;

it('settles kept turns in time during and after a burst that takes half of the leader link', async () => {
  simulateTime(SEED);
  const { ledger, links } = await startMeteredLedger();
  const leader = (await ledger.cluster.waitLeader()).member.address;
  const load = new KeptLoad(ledger);
  const startedAt = monotonicMs();
  await load.send(REGULAR_TURNS_PER_SECOND, 1_500);
  const burstAt = monotonicMs();
  const sentBefore = links.sentBy(leader);
  await load.send(BURST_TURNS_PER_SECOND, 4_000);
  const burstEndAt = monotonicMs();
  const burstBytes = links.sentBy(leader) - sentBefore;
  await load.send(REGULAR_TURNS_PER_SECOND, 4_000);
  const endedAt = monotonicMs();
  await load.waitForAll();
  expect.soft(load.shareInTimeBetween(startedAt, burstAt)).toBeGreaterThan(0.95);
  expect.soft(load.shareInTimeBetween(burstAt, burstEndAt)).toBeGreaterThan(0.95);
  expect.soft(burstBytes / load.keptBytesBetween(burstAt, burstEndAt)).toBeLessThan(1);
  expect.soft(load.shareInTimeBetween(burstEndAt + RECOVERY_MS, endedAt)).toBeGreaterThan(0.99);
});

/** Members that recover their values must not fetch them all from one member, whose link also carries commits. */
it('settles kept turns in time while two replaced members fetch their values', async () => {
  simulateTime(SEED);
  const { ledger } = await startMeteredLedger();
  const load = new KeptLoad(ledger);
  await load.send(REGULAR_TURNS_PER_SECOND, 4_000);
  const lostAt = monotonicMs();
  const replacing = ledger.replaceTwoFollowers();
  await load.send(REGULAR_TURNS_PER_SECOND, 5_000);
  const endedAt = monotonicMs();
  await load.waitForAll();
  const replaced = await replacing;
  expect.soft(load.shareInTimeBetween(lostAt, endedAt)).toBeGreaterThan(0.95);
  for (const id of replaced) {
    await waitUntil('whole', () => ledger.hasValue(id, 't1') && ledger.hasValue(id, 't600'));
  }
});
