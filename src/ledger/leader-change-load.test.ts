/**
 * After a change of the leader or its followers, gateways must learn the new copy targets under load. A new leader that
 * sent the copies for all gateways would saturate its link and respond too late for any gateway to learn them.
 */
import { expect, it, vi } from 'vitest';
import {
  BURST_TURNS_PER_SECOND,
  KeptLoad,
  RECOVERY_MS,
  startMeteredLedger,
} from '../../tests/support/kept-load.js';
import { simulateTime } from '../../tests/support/simulated-time.js';
import { monotonicMs } from '../common/index.js';

vi.mock('node:fs/promises', () => import('../../tests/support/memory-files.js'));

const SEED = 1;
const BEFORE_MS = 2_000;
/** Two election timeouts. */
const ISOLATION_MS = 600;
const AFTER_MS = 4_000;

it('settles kept turns in time soon after a leader change', async () => {
  simulateTime(SEED);
  const { ledger } = await startMeteredLedger();
  const { cluster } = ledger;
  const load = new KeptLoad(ledger);
  await load.send(BURST_TURNS_PER_SECOND, BEFORE_MS);
  const { member } = await cluster.waitLeader();
  cluster.network.isolate(member.address);
  await load.send(BURST_TURNS_PER_SECOND, ISOLATION_MS);
  cluster.network.healAll();
  const healedAt = monotonicMs();
  await load.send(BURST_TURNS_PER_SECOND, AFTER_MS);
  const endedAt = monotonicMs();
  await load.waitForAll();
  expect(load.shareInTimeBetween(healedAt + RECOVERY_MS, endedAt)).toBeGreaterThan(0.95);
});

it('settles kept turns in time soon after two members lost their disks during a burst', async () => {
  simulateTime(SEED);
  const { ledger } = await startMeteredLedger();
  const load = new KeptLoad(ledger);
  await load.send(BURST_TURNS_PER_SECOND, BEFORE_MS);
  const lostAt = monotonicMs();
  const replacing = ledger.replaceTwoFollowers();
  await load.send(BURST_TURNS_PER_SECOND, RECOVERY_MS + AFTER_MS);
  const endedAt = monotonicMs();
  await load.waitForAll();
  await replacing;
  expect(load.shareInTimeBetween(lostAt + RECOVERY_MS, endedAt)).toBeGreaterThan(0.95);
});
