/**
 * Regression test: on a slow link, append batches took longer than their timeout and were resent
 * behind the ones still in transit, so the follower never made progress.
 */
import { expect, it } from 'vitest';
import { startCluster } from '../../tests/support/consensus-cluster.js';
import { LoopbackNetwork } from '../../tests/support/loopback-network.js';
import { MeteredLinks } from '../../tests/support/metered-links.js';
import { waitUntil } from '../../tests/support/wait-until.js';
import { encodeValue } from '../wire/index.js';

const TIMING = { heartbeatIntervalMs: 60, electionTimeoutMs: 300, startupElectionTimeoutMs: 40 };
const FAST_BYTES_PER_SECOND = 50e6;
const SLOW_BYTES_PER_SECOND = 500e3;
const COMMANDS = 40;
const COMMAND_BYTES = 50_000;
const LOG_BYTES = COMMANDS * COMMAND_BYTES;
/** The log takes 4 s on the slow link; the rest is allowed for responses and repeated entries. */
const CATCH_UP_MS = (2 * LOG_BYTES * 1_000) / SLOW_BYTES_PER_SECOND;

it('receives the log at the rate of its link, with few repeated entries', async () => {
  const slower = new Map<string, number>();
  const links = new MeteredLinks({ bytesPerSecond: FAST_BYTES_PER_SECOND, latencyMs: 1, slower });
  const network = new LoopbackNetwork(undefined, links);
  const cluster = await startCluster({ consensus: TIMING, network });
  const { group } = await cluster.waitLeader();
  const follower = cluster.members.find((member) => !member.group.isLeader)!;
  slower.set(follower.member.address, SLOW_BYTES_PER_SECOND);
  const commands = Array.from({ length: COMMANDS }, (_, index) =>
    encodeValue(`${index}`.padEnd(COMMAND_BYTES, '.')),
  );
  await Promise.all(commands.map((command) => group.propose(command)));
  await waitUntil(
    'the leader to know that the follower holds all',
    () => group.matchIndexOf(follower.member.id) >= group.log.lastIndex,
    CATCH_UP_MS,
  );
  expect(follower.machine.items).toHaveLength(COMMANDS);
  expect(group.traffic.repeatedEntries).toBeLessThan(LOG_BYTES / 4);
});
