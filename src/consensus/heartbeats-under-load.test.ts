/** Heartbeats are left out where entries and their acknowledgements tell the same. */
import { describe, expect, it } from 'vitest';
import {
  type ConsensusCluster,
  type RunningMember,
  startCluster,
} from '../../tests/support/consensus-cluster.js';
import { waitUntil } from '../../tests/support/wait-until.js';
import { monotonicMs, sleep } from '../common/index.js';
import { encodeValue } from '../wire/index.js';
import { HEARTBEATS } from './messages.js';

const LOAD_MS = 1_000;
const COMMAND_INTERVAL_MS = 4;

function heartbeatsTo(cluster: ConsensusCluster, { member }: RunningMember): number {
  return cluster.network.requests.get(`${member.address} ${HEARTBEATS.name}`) ?? 0;
}

/** @returns the number of heartbeats that a member got meanwhile */
async function countHeartbeats(
  cluster: ConsensusCluster,
  member: RunningMember,
  action: () => Promise<void>,
): Promise<number> {
  const before = heartbeatsTo(cluster, member);
  await action();
  return heartbeatsTo(cluster, member) - before;
}

async function propose(leader: RunningMember): Promise<void> {
  const endsAt = monotonicMs() + LOAD_MS;
  while (monotonicMs() < endsAt) {
    void leader.group.propose(encodeValue('item')).catch(() => undefined);
    await sleep(COMMAND_INTERVAL_MS);
  }
}

function followersOf(cluster: ConsensusCluster): RunningMember[] {
  return cluster.members.filter(({ group }) => !group.isLeader);
}

describe('a follower', () => {
  it('gets few heartbeats while it receives and acknowledges entries, and all of them at rest', async () => {
    const { cluster, leader } = await startSettled();
    const [follower] = followersOf(cluster);
    const atRest = await countHeartbeats(cluster, follower!, () => sleep(LOAD_MS));
    const underLoad = await countHeartbeats(cluster, follower!, () => propose(leader));
    expect(underLoad).toBeLessThan(atRest / 3);
    const afterwards = await countHeartbeats(cluster, follower!, () => sleep(LOAD_MS));
    expect(afterwards).toBeGreaterThan((atRest * 2) / 3);
  });

  /** Entries wait behind each other on a slow link; a heartbeat has a connection of its own. */
  it('gets heartbeats while it acknowledges no entries', async () => {
    const { cluster, leader } = await startSettled();
    const [follower] = followersOf(cluster);
    const atRest = await countHeartbeats(cluster, follower!, () => sleep(LOAD_MS));
    cluster.network.cut(follower!.member.address, leader.member.address);
    const unacknowledged = await countHeartbeats(cluster, follower!, () => propose(leader));
    expect(unacknowledged).toBeGreaterThan((atRest * 2) / 3);
  });

  it('is asked by a heartbeat when a read waits for a quorum, also under load', async () => {
    const { cluster, leader } = await startSettled();
    const [follower] = followersOf(cluster);
    let reads = 0;
    const asked = await countHeartbeats(cluster, follower!, async () => {
      const loaded = propose(leader);
      const endsAt = monotonicMs() + LOAD_MS;
      for (; monotonicMs() < endsAt; reads += 1) {
        await leader.group.confirmLeadership();
        await sleep(COMMAND_INTERVAL_MS);
      }
      await loaded;
    });
    expect(asked).toBeGreaterThan(reads / 2);
  });
});

async function startSettled(): Promise<{ cluster: ConsensusCluster; leader: RunningMember }> {
  const cluster = await startCluster();
  const leader = await cluster.waitLeader();
  await leader.group.propose(encodeValue('first'));
  await waitUntil('all hold the first command', () =>
    cluster.members.every(({ machine }) => machine.items.length === 1),
  );
  return { cluster, leader };
}
