/** Programs ended late while engines were idle: nothing refused new ones when the leader's processor was the bottleneck. */
import { expect, it, vi } from 'vitest';
import { LedgerCluster } from '../../tests/support/ledger-cluster.js';
import { MeteredProcessors } from '../../tests/support/metered-processors.js';
import { ProgramLoad, TURNS } from '../../tests/support/program-load.js';
import { simulateTime } from '../../tests/support/simulated-time.js';
import { monotonicMs } from '../common/index.js';
import { LedgerRouter } from './ledger-router.js';

vi.mock('node:fs/promises', () => import('../../tests/support/memory-files.js'));

const HEARTBEAT_MS = 60;
const TIMING = {
  heartbeatIntervalMs: HEARTBEAT_MS,
  electionTimeoutMs: 300,
  startupElectionTimeoutMs: 40,
};
const SEED = 1;
const VOTERS = 5;
const DELAY_MS = 1;
const MESSAGE_MS = 1;
const SYNC_MS = 0.5;
/** Messages of a turn between the leader and its gateway: two requests and their responses. */
const MESSAGES_PER_TURN = 4;
/** The objective leaves 80 ms a turn for two commands; each waits for a round of replication and takes part in the next. */
const ROUND_INTERVAL_MS = 20;
/** Processor time of a request to each follower and its response. */
const FOLLOWERS_MS = 2 * (VOTERS - 1) * MESSAGE_MS;
/** Share of the leader's processor that heartbeats and replication leave for the messages of gateways. */
const GATEWAY_SHARE =
  1 - FOLLOWERS_MS / HEARTBEAT_MS - (FOLLOWERS_MS + SYNC_MS) / ROUND_INTERVAL_MS;
/** Programs per second that the leader bears. */
const BORNE_PER_SECOND = (GATEWAY_SHARE * 1_000) / (MESSAGES_PER_TURN * TURNS * MESSAGE_MS);
const WARM_UP_MS = 2_000;
const BURST_MS = 5_000;
const AFTER_MS = 5_000;
/** Time after the burst by which service must be back to normal. */
const RECOVERY_MS = 2_000;
/** Load before and after the burst, as a multiple of what the leader bears. */
const REGULAR_LOAD = 0.7;
/** Programs on time in a burst, as a share of those that the leader bears. */
const MIN_GOODPUT = 0.9;
const MIN_SHARE_AFTER = 0.95;

async function startPrograms(): Promise<ProgramLoad> {
  const processors = new MeteredProcessors({
    messageMs: MESSAGE_MS,
    syncMs: SYNC_MS,
    isMetered: (machine) => machine.startsWith('member'),
  });
  const options = { voters: VOTERS, processors, delayMs: DELAY_MS, consensus: TIMING };
  const ledger = await LedgerCluster.start(options);
  const createClient = (name: string): LedgerRouter =>
    new LedgerRouter(() => ledger.createClient(name));
  return new ProgramLoad({ createClient }, SEED);
}

it.each([1, 1.3, 1.6, 2])(
  'programs end on time in a burst of %d times what the ledger leader bears',
  async (load) => {
    simulateTime(SEED);
    const programs = await startPrograms();
    await programs.begin(REGULAR_LOAD * BORNE_PER_SECOND, WARM_UP_MS);
    const burstAt = monotonicMs();
    await programs.begin(load * BORNE_PER_SECOND, BURST_MS);
    const burstEndAt = monotonicMs();
    await programs.begin(REGULAR_LOAD * BORNE_PER_SECOND, AFTER_MS);
    const endAt = monotonicMs();
    await programs.waitForAll();
    const burst = programs.countBetween(burstAt, burstEndAt);
    const after = programs.countBetween(burstEndAt + RECOVERY_MS, endAt);
    const bornePrograms = (BORNE_PER_SECOND * BURST_MS) / 1_000;
    expect.soft(burst.onTime / Math.min(burst.begun, bornePrograms)).toBeGreaterThan(MIN_GOODPUT);
    expect.soft(after.onTime / after.begun).toBeGreaterThan(MIN_SHARE_AFTER);
  },
);
