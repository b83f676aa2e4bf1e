/**
 * Programs ended late because one process ordered the commands of all of them, however many machines the ledger had. Four
 * groups must bear twice what one leader bears.
 */
import { expect, it, vi } from 'vitest';
import { LedgerGroupsCluster } from '../../tests/support/ledger-groups-cluster.js';
import { ProgramLoad, TURNS } from '../../tests/support/program-load.js';
import { simulateTime } from '../../tests/support/simulated-time.js';
import { monotonicMs } from '../common/index.js';

vi.mock('node:fs/promises', () => import('../../tests/support/memory-files.js'));

const SEED = 1;
const GROUPS = 4;
const VOTERS = 5;
const DELAY_MS = 1;
const MESSAGE_MS = 1;
const SYNC_MS = 0.5;
const TIMING = { heartbeatIntervalMs: 60, electionTimeoutMs: 300, startupElectionTimeoutMs: 40 };
/** Messages of a turn between a leader and its gateway: two requests and their responses. */
const MESSAGES_PER_TURN = 4;
/** Each turn waits for two commands in 80 ms; each waits for a round of replication and takes part in the next. */
const ROUND_INTERVAL_MS = 20;
/** Processor time of a request to each follower and its response. */
const FOLLOWERS_MS = 2 * (VOTERS - 1) * MESSAGE_MS;
/** Share of a leader's processor that heartbeats and replication leave for the messages of gateways. */
const GATEWAY_SHARE =
  1 - FOLLOWERS_MS / TIMING.heartbeatIntervalMs - (FOLLOWERS_MS + SYNC_MS) / ROUND_INTERVAL_MS;
/** Programs a second that one leader bears. */
const BORNE_BY_ONE_LEADER = (GATEWAY_SHARE * 1_000) / (MESSAGES_PER_TURN * TURNS * MESSAGE_MS);
const LOAD = 2 * BORNE_BY_ONE_LEADER;
const WARM_UP_MS = 2_000;
const MEASURED_MS = 5_000;
const MIN_SHARE_ON_TIME = 0.9;

it('programs end on time at twice the load that one leader bears', async () => {
  simulateTime(SEED);
  const cluster = await LedgerGroupsCluster.start({
    groups: GROUPS,
    voters: VOTERS,
    messageMs: MESSAGE_MS,
    syncMs: SYNC_MS,
    delayMs: DELAY_MS,
    consensus: TIMING,
  });
  const programs = new ProgramLoad(cluster, SEED);
  await programs.begin(BORNE_BY_ONE_LEADER / 2, WARM_UP_MS);
  const from = monotonicMs();
  await programs.begin(LOAD, MEASURED_MS);
  const to = monotonicMs();
  await programs.waitForAll();
  const { begun, onTime } = programs.countBetween(from, to);
  expect(onTime / begun).toBeGreaterThan(MIN_SHARE_ON_TIME);
});
