/** Learners receive entries from voters, and from the leader if their relay fails. */
import { describe, expect, it } from 'vitest';
import {
  type ConsensusCluster,
  GROUP,
  type RunningMember,
  startCluster,
} from '../../tests/support/consensus-cluster.js';
import { waitUntil } from '../../tests/support/wait-until.js';
import type { GroupConfiguration, Member } from './configuration.js';
import { relayOf } from './learner-relays.js';

const LIMITS = { timeoutMs: 10_000 };
const COMMANDS = 60;
const LEARNERS = ['member-4', 'member-5', 'member-6'];

interface ClusterWithLearners {
  cluster: ConsensusCluster;
  leader: RunningMember;
  learners: RunningMember[];
}

async function startWithLearners(): Promise<ClusterWithLearners> {
  const cluster = await startCluster();
  const leader = await cluster.waitLeader();
  const learners: RunningMember[] = [];
  for (const name of LEARNERS) {
    const member = { id: `${name}-first`, name, address: name, role: 'learner' as const };
    learners.push(await cluster.start(member, false));
    await waitUntil('settled', () => leader.group.isConfigurationSettled);
    await leader.group.addMember(member);
  }
  await append(cluster, 'first', 1);
  await waitUntil('learners hold the first command', () => holdAll(learners, 1));
  return { cluster, leader, learners };
}

async function append(cluster: ConsensusCluster, name: string, count: number): Promise<void> {
  const client = cluster.client();
  for (let item = 0; item < count; item += 1) {
    await client.execute(GROUP, `${name}-${item}`.padEnd(1_000, '.'), LIMITS);
  }
}

function holdAll(members: readonly RunningMember[], count: number): boolean {
  return members.every(({ machine }) => machine.items.length >= count);
}

function relayFor(leader: RunningMember, learner: RunningMember): string {
  const { configuration, ownId } = leader.group;
  return relayOf(configuration, ownId, learner.member.id)!.id;
}

describe('learners', () => {
  it('receive committed entries from voters, and the leader sends entries to voters only', async () => {
    const { cluster, leader, learners } = await startWithLearners();
    const before = leader.group.traffic.learnerEntries;
    await append(cluster, 'load', COMMANDS);
    await waitUntil('learners hold all', () => holdAll(learners, COMMANDS + 1));
    for (const { machine } of learners) expect(machine.items).toEqual(leader.machine.items);
    expect(leader.group.traffic.learnerEntries - before).toBe(0);
    const held = learners.map(({ member }) => leader.group.matchIndexOf(member.id));
    await waitUntil('the leader knows', () =>
      learners.every(
        ({ member }) => leader.group.matchIndexOf(member.id) === leader.group.log.lastIndex,
      ),
    );
    expect(Math.max(...held)).toBeLessThanOrEqual(leader.group.log.lastIndex);
  });

  it('receive entries from the leader when their relay has crashed', async () => {
    const { cluster, leader, learners } = await startWithLearners();
    await cluster.crash(relayFor(leader, learners[0]!));
    await append(cluster, 'load', COMMANDS);
    await waitUntil('learners hold all', () => holdAll(learners, COMMANDS + 1));
    expect(leader.group.traffic.learnerEntries).toBeGreaterThan(0);
  });

  it('follow the next leader and hold no other entries', async () => {
    const { cluster, leader, learners } = await startWithLearners();
    const lost = leader.member.address;
    cluster.network.isolate(lost);
    void leader.group.propose(new Uint8Array([0xa4, 108, 111, 115, 116])).catch(() => undefined);
    const next = await cluster.waitLeader(leader.member.id);
    await append(cluster, 'later', COMMANDS);
    await waitUntil('learners hold all', () => holdAll(learners, COMMANDS + 1));
    for (const { machine } of learners) expect(machine.items).toEqual(next.machine.items);
    cluster.network.healAll();
    await waitUntil('the old leader follows', () => holdAll([leader], COMMANDS + 1));
    expect(leader.machine.items).toEqual(next.machine.items);
    for (const { fatalErrors } of cluster.members) expect(fatalErrors).toEqual([]);
  });
});

describe('the relay of a learner', () => {
  const member = (id: string, role: Member['role']): Member => ({
    id,
    name: id,
    address: id,
    role,
  });
  const voters = ['a', 'b', 'c'].map((id) => member(id, 'voter'));
  const learners = ['l1', 'l2', 'l3'].map((id) => member(id, 'learner'));

  it('does not depend on the order of members, and is never the leader', () => {
    const configuration: GroupConfiguration = { members: [...voters, ...learners] };
    const reordered: GroupConfiguration = { members: [...learners, ...voters].reverse() };
    const relays = learners.map(({ id }) => relayOf(configuration, 'b', id)?.id);
    expect(relays).toEqual(['a', 'c', 'a']);
    expect(learners.map(({ id }) => relayOf(reordered, 'b', id)?.id)).toEqual(relays);
  });

  it('is undefined for a voter, and if the leader is the only voter', () => {
    expect(relayOf({ members: [...voters, ...learners] }, 'b', 'a')).toBeUndefined();
    expect(relayOf({ members: [voters[0]!, ...learners] }, 'a', 'l1')).toBeUndefined();
  });
});
