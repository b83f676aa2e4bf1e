/**
 * A leader counted the answers of a learner as those of a voter that was gone. A member that loses its disk comes back
 * under another identity at the same address, so that the leader sends this address heartbeats for both; only the new
 * member answers, and its answer was taken for the first heartbeat of the group in the message, which was the old
 * voter's. In a group of five with two such members the old voters' matched indexes rose with those of the new learners
 * (153 to 298 while their disks were lost), the leader went on without a majority when one more was cut off, and
 * nothing was heard of the learners between two appends.
 */
import { expect, it, vi } from 'vitest';
import { startCluster } from '../../tests/support/consensus-cluster.js';
import { simulateTime } from '../../tests/support/simulated-time.js';
import { waitUntil } from '../../tests/support/wait-until.js';
import { sleep } from '../common/index.js';

vi.mock('node:fs/promises', () => import('../../tests/support/memory-files.js'));

const ELECTION_TIMEOUT_MS = 120;
const CONSENSUS = { heartbeatIntervalMs: 20, electionTimeoutMs: ELECTION_TIMEOUT_MS };
const HEARTBEATS_MS = 200;
/** Long enough for a learner to be sent entries by the leader itself. */
const ISOLATION_MS = 1_500;

/** A leader, a follower, and a learner in the place of a voter that lost its disk. */
async function startWithReplacedMember() {
  simulateTime(1);
  const cluster = await startCluster({ consensus: CONSENSUS });
  const leader = await cluster.waitLeader();
  const [lost, follower] = cluster.members.filter(({ group }) => !group.isLeader);
  const old = await cluster.crash(lost!.member.id);
  await cluster.loseDisk(old);
  const learner = { ...old, id: `${old.name}-second`, role: 'learner' as const };
  await cluster.start(learner, false);
  await waitUntil('settled', () => leader.group.isConfigurationSettled);
  await leader.group.addMember(learner);
  const { group } = leader;
  await waitUntil('caught up', () => group.matchIndexOf(learner.id) === group.log.lastIndex);
  await sleep(HEARTBEATS_MS);
  return { cluster, leader, follower: follower!, old, learner };
}

it('hears a renewed member by its heartbeats, and not the voter whose disk it lost', async () => {
  const { leader, old, learner } = await startWithReplacedMember();
  const silentMs = (id: string): number => performance.now() - leader.group.contactMsOf(id);
  expect.soft(silentMs(learner.id)).toBeLessThan(ELECTION_TIMEOUT_MS);
  expect.soft(silentMs(old.id)).toBeGreaterThanOrEqual(HEARTBEATS_MS);
  expect.soft(leader.group.matchIndexOf(old.id)).toBeLessThan(leader.group.log.lastIndex);
});

it('commits nothing and steps down when only a learner answers in the place of a lost voter', async () => {
  const { cluster, leader, follower } = await startWithReplacedMember();
  cluster.network.isolate(follower.member.address);
  const committedBefore = leader.group.commitIndex;
  leader.group.propose(Buffer.from('a')).catch(() => undefined);
  await sleep(ISOLATION_MS);
  expect.soft(leader.group.commitIndex).toBe(committedBefore);
  expect.soft(leader.group.isLeader).toBe(false);
});
