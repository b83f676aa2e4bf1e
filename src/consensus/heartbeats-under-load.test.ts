/** Heartbeats are left out where entries and their acknowledgements tell the same. */
import { describe, expect, it } from 'vitest';
import {
  type ConsensusCluster,
  type RunningMember,
  startCluster,
} from '../../tests/support/consensus-cluster.js';
import { LoopbackNetwork } from '../../tests/support/loopback-network.js';
import { waitUntil } from '../../tests/support/wait-until.js';
import { monotonicMs, sleep } from '../common/index.js';
import { encodeValue } from '../wire/index.js';
import { HEARTBEATS } from './messages.js';

const LOAD_MS = 1_500;
const COMMAND_INTERVAL_MS = 4;
/** Long beside the stalls of a busy test machine. */
const TIMING = { heartbeatIntervalMs: 100, electionTimeoutMs: 600 };
/** One-way delay with which an acknowledgement takes three heartbeat intervals. */
const SLOW_LINK_MS = 150;

function heartbeatsTo(cluster: ConsensusCluster, { member }: RunningMember): number {
  return cluster.network.requests.get(`${member.address} ${HEARTBEATS.name}`) ?? 0;
}

/** @returns the heartbeats that a member got during an action, for each heartbeat interval of the leader */
async function heartbeatsPerInterval(
  { cluster, leader }: SettledCluster,
  member: RunningMember,
  action: () => Promise<void>,
): Promise<number> {
  const before = heartbeatsTo(cluster, member);
  const intervalsBefore = leader.intervals;
  await action();
  return (heartbeatsTo(cluster, member) - before) / (leader.intervals - intervalsBefore);
}

async function propose({ leader }: SettledCluster): Promise<void> {
  const { group } = leader.running;
  const endsAt = monotonicMs() + LOAD_MS;
  while (monotonicMs() < endsAt) {
    void group.propose(encodeValue('item')).catch(() => undefined);
    await sleep(COMMAND_INTERVAL_MS);
  }
}

function followersOf(cluster: ConsensusCluster): RunningMember[] {
  return cluster.members.filter(({ group }) => !group.isLeader);
}

describe('a follower', () => {
  it('gets few heartbeats while it receives and acknowledges entries, and all of them at rest', async () => {
    const settled = await startSettled();
    const [follower] = followersOf(settled.cluster);
    const underLoad = await heartbeatsPerInterval(settled, follower!, () => propose(settled));
    expect(underLoad).toBeLessThan(0.5);
    const afterwards = await heartbeatsPerInterval(settled, follower!, () => sleep(LOAD_MS));
    expect(afterwards).toBeGreaterThan(0.75);
  });

  /** Entries wait behind each other on a slow link; a heartbeat has a connection of its own. */
  it('gets all heartbeats while it acknowledges entries late', async () => {
    const settled = await startSettled(new LoopbackNetwork(() => SLOW_LINK_MS));
    const [follower] = followersOf(settled.cluster);
    const underLoad = await heartbeatsPerInterval(settled, follower!, () => propose(settled));
    expect(underLoad).toBeGreaterThan(0.85);
  });

  it('gets heartbeats while it acknowledges no entries', async () => {
    const settled = await startSettled();
    const [follower] = followersOf(settled.cluster);
    settled.cluster.network.cut(follower!.member.address, settled.leader.running.member.address);
    const unacknowledged = await heartbeatsPerInterval(settled, follower!, () => propose(settled));
    expect(unacknowledged).toBeGreaterThan(0.75);
  });

  it('is asked by a heartbeat when a read waits for a quorum, also under load', async () => {
    const settled = await startSettled();
    const [follower] = followersOf(settled.cluster);
    const before = heartbeatsTo(settled.cluster, follower!);
    const loaded = propose(settled);
    const endsAt = monotonicMs() + LOAD_MS;
    let reads = 0;
    for (; monotonicMs() < endsAt; reads += 1) {
      await settled.leader.running.group.confirmLeadership();
      await sleep(COMMAND_INTERVAL_MS);
    }
    await loaded;
    expect(heartbeatsTo(settled.cluster, follower!) - before).toBeGreaterThan(reads / 2);
  });
});

interface ObservedLeader {
  running: RunningMember;
  /** Heartbeat intervals so far, which are longer than configured on a busy machine. */
  intervals: number;
}

interface SettledCluster {
  cluster: ConsensusCluster;
  leader: ObservedLeader;
}

async function startSettled(network = new LoopbackNetwork()): Promise<SettledCluster> {
  const cluster = await startCluster({ network, consensus: TIMING });
  const running = await cluster.waitLeader();
  await running.group.propose(encodeValue('first'));
  await waitUntil('all hold the first command', () =>
    cluster.members.every(({ machine }) => machine.items.length === 1),
  );
  const leader: ObservedLeader = { running, intervals: 0 };
  const tick = running.group.tick.bind(running.group);
  running.group.tick = () => {
    leader.intervals += 1;
    tick();
  };
  return { cluster, leader };
}
