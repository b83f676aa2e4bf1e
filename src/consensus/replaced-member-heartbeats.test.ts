/**
 * Regression test: a member that lost its disk rejoins with a new id at the same address. Heartbeat
 * responses of the new learner were counted for the old voter, so a leader without a majority could
 * commit.
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
/** Exceeds the time after which the leader replicates to a learner itself. */
const ISOLATION_MS = 1_500;

/** Starts a leader, a follower, and a learner that replaces a voter with a lost disk. */
async function startWithReplacedMember() {
  simulateTime(1);
  const cluster = await startCluster({ consensus: CONSENSUS });
  const leader = await cluster.waitLeader();
  const [lost, follower] = cluster.members.filter(({ group }) => !group.isLeader);
  const old = await cluster.crash(lost!.member.id);
  await cluster.deleteDisk(old);
  const learner = { ...old, id: `${old.name}-second`, role: 'learner' as const };
  await cluster.start(learner, false);
  await waitUntil('settled', () => leader.group.isConfigurationSettled);
  await leader.group.addMember(learner);
  const { group } = leader;
  await waitUntil('caught up', () => group.matchIndexOf(learner.id) === group.log.lastIndex);
  await sleep(HEARTBEATS_MS);
  return { cluster, leader, follower: follower!, old, learner };
}

it('counts heartbeat responses for the new member, not for the voter with the lost disk', async () => {
  const { leader, old, learner } = await startWithReplacedMember();
  const silentMs = (id: string): number => performance.now() - leader.group.contactMsOf(id);
  expect.soft(silentMs(learner.id)).toBeLessThan(ELECTION_TIMEOUT_MS);
  expect.soft(silentMs(old.id)).toBeGreaterThanOrEqual(HEARTBEATS_MS);
  expect.soft(leader.group.matchIndexOf(old.id)).toBeLessThan(leader.group.log.lastIndex);
});

it('commits nothing and steps down when only a learner responds in place of a lost voter', async () => {
  const { cluster, leader, follower } = await startWithReplacedMember();
  cluster.network.isolate(follower.member.address);
  const committedBefore = leader.group.commitIndex;
  leader.group.propose(Buffer.from('a')).catch(() => undefined);
  await sleep(ISOLATION_MS);
  expect.soft(leader.group.commitIndex).toBe(committedBefore);
  expect.soft(leader.group.isLeader).toBe(false);
});
