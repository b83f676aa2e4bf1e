import { describe, expect, it } from 'vitest';
import {
  type ConsensusCluster,
  GROUP,
  startCluster,
} from '../../tests/support/consensus-cluster.js';
import { waitUntil } from '../../tests/support/wait-until.js';
import { sleep } from '../common/index.js';
import { encodeValue } from '../wire/index.js';
import { NotLeaderError } from './errors.js';
import { StorageFullError } from '../log-store/index.js';

const LIMITS = { timeoutMs: 10_000 };
/** Long election timeouts, so that an election only starts for another reason. */
const SLOW_ELECTIONS = {
  heartbeatIntervalMs: 20,
  electionTimeoutMs: 20_000,
  startupElectionTimeoutMs: 50,
  disconnectTimeoutMs: 100,
};

async function append(cluster: ConsensusCluster, items: string[]): Promise<void> {
  const client = cluster.client();
  for (const item of items) await client.execute(GROUP, item, LIMITS);
}

function read(cluster: ConsensusCluster): Promise<string[]> {
  return cluster.client().query<string, string[]>(GROUP, 'all', LIMITS);
}

describe('replicated group', () => {
  it('elects one leader and replicates commands to every member', async () => {
    const cluster = await startCluster();
    await append(cluster, ['a', 'b', 'c']);
    for (const { machine } of cluster.members) {
      await waitUntil('all applied', () => machine.items.length === 3);
      expect(machine.items).toEqual(['a', 'b', 'c']);
    }
  });

  it('loses no acknowledged command when the leader crashes', async () => {
    const cluster = await startCluster();
    await append(cluster, ['a', 'b']);
    const { member } = await cluster.waitLeader();
    await cluster.crash(member.id);
    await append(cluster, ['c']);
    const items = await read(cluster);
    expect(items.filter((item) => item !== 'c')).toEqual(['a', 'b']);
    expect(items).toContain('c');
  });

  it('keeps all commands when all members restart at the same time', async () => {
    const cluster = await startCluster();
    await append(cluster, ['a', 'b', 'c']);
    const members = cluster.members.map(({ member }) => member);
    await cluster.stopAll();
    for (const member of members) await cluster.start(member, false);
    expect(await read(cluster)).toEqual(['a', 'b', 'c']);
  });

  it('sends the commit index to a restarted follower without new commands', async () => {
    const cluster = await startCluster();
    await append(cluster, ['a', 'b']);
    const leader = await cluster.waitLeader();
    const follower = cluster.members.find(({ group }) => !group.isLeader)!;
    await waitUntil('applied', () => follower.machine.items.length === 2);
    const member = await cluster.crash(follower.member.id);
    const restarted = await cluster.start(member, false);
    await waitUntil('applied again', () => restarted.machine.items.length === 2);
    expect(leader.group.isLeader).toBe(true);
  });

  it('neither commits nor serves reads on an isolated leader', async () => {
    const cluster = await startCluster();
    await append(cluster, ['a']);
    const old = await cluster.waitLeader();
    cluster.network.isolate(old.member.address);
    const lost = old.group.propose(encodeValue('lost')).catch((error: unknown) => error);
    const staleRead = old.group.confirmLeadership().then(
      () => 'confirmed',
      () => 'refused',
    );
    await cluster.waitLeader(old.member.id);
    await append(cluster, ['b']);
    expect(await staleRead).toBe('refused');
    expect(await lost).toBeInstanceOf(Error);
    expect(old.group.isLeader).toBe(false);
    cluster.network.healAll();
    await waitUntil('caught up', () => old.machine.items.includes('b'));
    expect(old.machine.items).toEqual(['a', 'b']);
  });

  it('steps down without a quorum before a majority may elect another leader', async () => {
    const cluster = await startCluster();
    const old = await cluster.waitLeader();
    cluster.network.isolate(old.member.address);
    await waitUntil('stepped down', () => !old.group.isLeader);
    await expect(old.group.propose(encodeValue('x'))).rejects.toBeInstanceOf(NotLeaderError);
  });

  it('keeps the leader when an isolated member returns', async () => {
    const cluster = await startCluster();
    const leader = await cluster.waitLeader();
    await append(cluster, ['a']);
    const other = cluster.members.find(({ member }) => member.id !== leader.member.id)!;
    cluster.network.isolate(other.member.address);
    const { term } = leader.group;
    await append(cluster, ['b', 'c']);
    // The isolated member passes several election timeouts.
    await waitUntil('the follower to lose its leader', () => other.group.state !== 'leader');
    await new Promise((resolve) => setTimeout(resolve, 600));
    cluster.network.healAll();
    await waitUntil('caught up', () => other.machine.items.length === 3);
    expect(leader.group.term).toBe(term);
    expect(leader.group.isLeader).toBe(true);
  });

  it('catches up a lagging member with a snapshot', async () => {
    const consensus = { snapshotEveryEntries: 20, trailingEntries: 5 };
    const cluster = await startCluster({ consensus });
    const leader = await cluster.waitLeader();
    const lagging = cluster.members.find(({ member }) => member.id !== leader.member.id)!;
    const member = await cluster.crash(lagging.member.id);
    const items = Array.from({ length: 60 }, (_, index) => `item-${index}`);
    await append(cluster, items);
    await waitUntil('compacted', () => cluster.leader!.group.log.compactedTo.index > 20);
    const back = await cluster.start(member, false);
    await waitUntil('caught up', () => back.machine.items.length === 60);
    expect(back.machine.items).toEqual(items);
    expect(back.fatalErrors).toEqual([]);
  });

  it('readmits a member with a lost disk only as a new member that has caught up', async () => {
    const cluster = await startCluster();
    await append(cluster, ['a', 'b', 'c']);
    const leader = await cluster.waitLeader();
    const victim = cluster.members.find(({ member }) => member.id !== leader.member.id)!;
    const old = await cluster.crash(victim.member.id);
    await cluster.deleteDisk(old);
    const replacement = { ...old, id: `${old.name}-second`, role: 'learner' as const };
    const back = await cluster.start(replacement, false);
    await waitUntil('voter again', () => cluster.join(replacement));
    expect(back.machine.items).toEqual(['a', 'b', 'c']);
    const voters = cluster.leader!.group.configuration.members;
    expect(voters.map(({ id }) => id)).not.toContain(old.id);
    expect(voters).toHaveLength(3);
    // A second failure right after the replacement leaves the new member and one other as majority.
    const third = cluster.members.find(
      ({ member }) => member.id !== leader.member.id && member.id !== replacement.id,
    )!;
    await cluster.crash(third.member.id);
    await append(cluster, ['d']);
    expect(await read(cluster)).toEqual(['a', 'b', 'c', 'd']);
  });

  it('rejects messages addressed to the identity of a lost data folder', async () => {
    const cluster = await startCluster();
    await append(cluster, ['a']);
    const leader = await cluster.waitLeader();
    const victim = cluster.members.find(({ member }) => member.id !== leader.member.id)!;
    const old = await cluster.crash(victim.member.id);
    await cluster.deleteDisk(old);
    const replacement = { ...old, id: `${old.name}-second`, role: 'learner' as const };
    const back = await cluster.start(replacement, false);
    const other = cluster.members.find(
      ({ member }) => member.id !== leader.member.id && member.id !== replacement.id,
    )!;
    await cluster.crash(other.member.id);
    // One voter with its log and one with an empty disk are not a majority of three.
    await waitUntil('stepped down', () => !leader.group.isLeader);
    await new Promise((resolve) => setTimeout(resolve, 500));
    expect(cluster.leader).toBeUndefined();
    expect(back.group.term).toBe(0);
  });

  it('transfers leadership before a planned stop', async () => {
    const cluster = await startCluster();
    await append(cluster, ['a']);
    const leader = await cluster.waitLeader();
    expect(await leader.group.transferLeadership()).toBe(true);
    await cluster.waitLeader(leader.member.id);
    await append(cluster, ['b']);
  });

  it('elects a new leader soon after the connection of the previous one has closed', async () => {
    const cluster = await startCluster({ consensus: SLOW_ELECTIONS });
    const old = await cluster.waitLeader();
    const others = cluster.members.filter(({ member }) => member.id !== old.member.id);
    await waitUntil('leader known', () =>
      others.every(({ group }) => group.leaderName === old.member.name),
    );
    await cluster.crash(old.member.id);
    const crashedAt = performance.now();
    for (const { host } of others) host.notePeerDisconnected(old.member.name);
    await cluster.waitLeader(old.member.id);
    expect(performance.now() - crashedAt).toBeLessThan(SLOW_ELECTIONS.electionTimeoutMs);
  });

  it('keeps a leader that reconnects after its connection was lost', async () => {
    const cluster = await startCluster({ consensus: SLOW_ELECTIONS });
    const leader = await cluster.waitLeader();
    const { term } = leader.group;
    for (let broken = 0; broken < 5; broken += 1) {
      for (const { host } of cluster.members) host.notePeerDisconnected(leader.member.name);
      await sleep(SLOW_ELECTIONS.disconnectTimeoutMs / 2);
    }
    await sleep(SLOW_ELECTIONS.disconnectTimeoutMs * 3);
    expect(leader.group.isLeader).toBe(true);
    expect(leader.group.term).toBe(term);
  });

  it('keeps a leader whose process stalled while responses were waiting', async () => {
    const cluster = await startCluster();
    const leader = await cluster.waitLeader();
    await append(cluster, ['a']);
    const { term } = leader.group;
    const stallEndsAt = performance.now() + 300;
    while (performance.now() < stallEndsAt);
    leader.group.tick();
    expect(leader.group.isLeader).toBe(true);
    expect(leader.group.term).toBe(term);
  });

  it('runs the first election independently of the heartbeat interval', async () => {
    const consensus = { ...SLOW_ELECTIONS, heartbeatIntervalMs: 3_000 };
    const cluster = await startCluster({ consensus });
    const startedAt = performance.now();
    await cluster.waitLeader();
    expect(performance.now() - startedAt).toBeLessThan(consensus.heartbeatIntervalMs);
  });

  it('does not keep larger buffers in memory than the entries need', async () => {
    const cluster = await startCluster({ consensus: { snapshotEveryEntries: 100_000 } });
    await append(cluster, ['x'.repeat(500_000)]);
    for (let index = 0; index < 200; index += 1) await append(cluster, ['y'.repeat(6_000)]);
    for (const { group } of cluster.members) {
      const entries = group.log.slice(1, Number.MAX_SAFE_INTEGER);
      const needed = entries.reduce((sum, { data }) => sum + data.length, 0);
      const buffers = new Set(entries.map(({ data }) => data.buffer));
      const held = [...buffers].reduce((sum, buffer) => sum + buffer.byteLength, 0);
      expect(held).toBeLessThan(needed * 1.2);
    }
  });

  it('rejects new commands when the quota is used up, and loses nothing', async () => {
    const cluster = await startCluster({ quotaBytes: 24 * 1024 });
    await append(cluster, ['first']);
    const leader = await cluster.waitLeader();
    const big = encodeValue('x'.repeat(2_000));
    const refusals: unknown[] = [];
    for (let index = 0; index < 20; index += 1) {
      await leader.group.propose(big).catch((error: unknown) => refusals.push(error));
    }
    expect(refusals.length).toBeGreaterThan(0);
    expect(refusals.every((error) => error instanceof StorageFullError)).toBe(true);
    expect((await read(cluster))[0]).toBe('first');
    for (const { fatalErrors } of cluster.members) expect(fatalErrors).toEqual([]);
  });
});
