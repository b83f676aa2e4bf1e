/** Members that replicate the log without counting for commits. */
import { describe, expect, it } from 'vitest';
import {
  type ConsensusCluster,
  GROUP,
  type RunningMember,
  startCluster,
} from '../../tests/support/consensus-cluster.js';
import { waitUntil } from '../../tests/support/wait-until.js';
import { monotonicMs } from '../common/index.js';
import { APPEND } from './messages.js';

const LIMITS = { timeoutMs: 10_000 };
const HEARTBEAT_MS = 100;

async function clusterWithLearner(): Promise<{
  cluster: ConsensusCluster;
  learner: RunningMember;
}> {
  const consensus = { heartbeatIntervalMs: HEARTBEAT_MS, electionTimeoutMs: 2_000 };
  const cluster = await startCluster({
    consensus: { ...consensus, startupElectionTimeoutMs: 50 },
  });
  const leader = await cluster.waitLeader();
  const name = 'member-4';
  const member = { id: `${name}-first`, name, address: name, role: 'learner' as const };
  const learner = await cluster.start(member, false);
  await waitUntil('settled', () => leader.group.isConfigurationSettled);
  await leader.group.addMember(member);
  return { cluster, learner };
}

async function append(cluster: ConsensusCluster, count: number): Promise<void> {
  const client = cluster.client();
  for (let item = 0; item < count; item += 1) await client.execute(GROUP, `${item}`, LIMITS);
}

describe('a learner', () => {
  it('receives entries in batches once per heartbeat, while voters receive them at once', async () => {
    const { cluster, learner } = await clusterWithLearner();
    await append(cluster, 10);
    await waitUntil('caught up', () => learner.machine.items.length === 10);
    const appendsTo = (name: string): number =>
      cluster.network.requests.get(`${name} ${APPEND.name}`) ?? 0;
    const voter = cluster.members.find(
      ({ group, member }) => !group.isLeader && member.role === 'voter',
    )!;
    const before = { learner: appendsTo('member-4'), voter: appendsTo(voter.member.name) };
    const startedAt = monotonicMs();
    await append(cluster, 100);
    const intervals = (monotonicMs() - startedAt) / HEARTBEAT_MS;
    expect(appendsTo('member-4') - before.learner).toBeLessThanOrEqual(intervals + 2);
    expect(appendsTo(voter.member.name) - before.voter).toBeGreaterThan(intervals + 20);
    await waitUntil('holds all', () => learner.machine.items.length === 110);
  });

  it('counts for commits without a pause after promotion to voter', async () => {
    const { cluster, learner } = await clusterWithLearner();
    await append(cluster, 10);
    const leader = await cluster.waitLeader();
    await waitUntil('caught up', () => learner.machine.items.length === 10);
    await leader.group.addMember({ ...learner.member, role: 'voter' });
    // With one of four voters down, commits depend on the former learner.
    const gone = cluster.members.find(
      ({ group, member }) => !group.isLeader && member.id !== learner.member.id,
    )!;
    await cluster.crash(gone.member.id);
    await append(cluster, 5);
    const startedAt = monotonicMs();
    await append(cluster, 20);
    expect(monotonicMs() - startedAt).toBeLessThan(20 * HEARTBEAT_MS);
  });
});
