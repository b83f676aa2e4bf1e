/** Learners, on which no commit depends, took as many messages and so as much processor time as voters. */
import { describe, expect, it } from 'vitest';
import {
  type ConsensusCluster,
  GROUP,
  type RunningMember,
  startCluster,
} from '../../tests/support/consensus-cluster.js';
import { waitUntil } from '../../tests/support/wait-until.js';
import { monotonicMs, sleep } from '../common/index.js';
import { APPEND, HEARTBEATS } from './messages.js';
import { LEARNER_INTERVAL_HEARTBEATS } from './replicator.js';

const HEARTBEAT_MS = 60;
const LEARNER = 'member-4';
const MEASURED_MS = 3_000;
const COMMAND_INTERVAL_MS = 20;
const LIMITS = { timeoutMs: 10_000 };
const LEARNER_INTERVALS = MEASURED_MS / (LEARNER_INTERVAL_HEARTBEATS * HEARTBEAT_MS);

async function startWithLearner(): Promise<{ cluster: ConsensusCluster; learner: RunningMember }> {
  const cluster = await startCluster({
    consensus: { heartbeatIntervalMs: HEARTBEAT_MS, startupElectionTimeoutMs: 50 },
  });
  const leader = await cluster.waitLeader();
  const member = {
    id: `${LEARNER}-first`,
    name: LEARNER,
    address: LEARNER,
    role: 'learner' as const,
  };
  const learner = await cluster.start(member, false);
  await waitUntil('settled', () => leader.group.isConfigurationSettled);
  await leader.group.addMember(member);
  await cluster.client().execute(GROUP, 'first', LIMITS);
  await waitUntil('caught up', () => learner.machine.items.length === 1);
  return { cluster, learner };
}

/** @returns messages to the learner while `work` runs, by method */
async function messagesToLearner(
  cluster: ConsensusCluster,
  work: () => Promise<void>,
): Promise<{ appends: number; heartbeats: number }> {
  const count = (method: string): number =>
    cluster.network.requests.get(`${LEARNER} ${method}`) ?? 0;
  const before = { appends: count(APPEND.name), heartbeats: count(HEARTBEATS.name) };
  await work();
  return {
    appends: count(APPEND.name) - before.appends,
    heartbeats: count(HEARTBEATS.name) - before.heartbeats,
  };
}

async function appendFor(cluster: ConsensusCluster, durationMs: number): Promise<number> {
  const client = cluster.client();
  const endsAt = monotonicMs() + durationMs;
  let appended = 0;
  while (monotonicMs() < endsAt) {
    await client.execute(GROUP, `${appended}`, LIMITS);
    appended += 1;
    await sleep(COMMAND_INTERVAL_MS);
  }
  return appended;
}

describe('a learner that is up to date', () => {
  it('gets one batch and one heartbeat in a learner interval, under load', async () => {
    const { cluster, learner } = await startWithLearner();
    let appended = 0;
    const messages = await messagesToLearner(cluster, async () => {
      appended = await appendFor(cluster, MEASURED_MS);
    });
    expect(messages.appends).toBeLessThanOrEqual(LEARNER_INTERVALS + 1);
    expect(messages.heartbeats).toBeLessThanOrEqual(LEARNER_INTERVALS + 1);
    await waitUntil('holds all', () => learner.machine.items.length === appended + 1);
  });

  it('gets one heartbeat in a learner interval at rest, and counts as reachable', async () => {
    const { cluster, learner } = await startWithLearner();
    const leader = await cluster.waitLeader();
    let oldestContactMs = 0;
    const messages = await messagesToLearner(cluster, async () => {
      const endsAt = monotonicMs() + MEASURED_MS;
      while (monotonicMs() < endsAt) {
        const ageMs = monotonicMs() - leader.group.contactMsOf(learner.member.id);
        oldestContactMs = Math.max(oldestContactMs, ageMs);
        await sleep(COMMAND_INTERVAL_MS);
      }
    });
    expect(messages.heartbeats).toBeLessThanOrEqual(LEARNER_INTERVALS + 1);
    expect(oldestContactMs).toBeLessThan(2 * LEARNER_INTERVAL_HEARTBEATS * HEARTBEAT_MS);
  });
});
