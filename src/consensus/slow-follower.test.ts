/**
 * A follower whose link was slow was sent batches of 1 MB that took longer than the second after which
 * the leader gave each up and sent it again, on the same connection, behind the one that was still on its
 * way. Every answer came after its time-out, so the follower never counted as having anything, and the
 * leader sent more than the link carried for as long as it led.
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
/** The log takes 4 s on the slow link; as long again is given for answers and repeats. */
const CATCH_UP_MS = (2 * LOG_BYTES * 1_000) / SLOW_BYTES_PER_SECOND;

it('gets the log at the rate of its link, and hardly anything twice', async () => {
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
