/** Groups whose messages take longer than the configured timeouts, as between processes on busy processors. */
import { describe, expect, it } from 'vitest';
import { type ConsensusCluster, startCluster } from '../../tests/support/consensus-cluster.js';
import { LoopbackNetwork } from '../../tests/support/loopback-network.js';
import { encodeValue } from '../wire/index.js';
import { monotonicMs, sleep } from '../common/index.js';
import type { ConsensusOptions } from './options.js';

const TIMING: ConsensusOptions = {
  heartbeatIntervalMs: 30,
  electionTimeoutMs: 150,
  startupElectionTimeoutMs: 20,
  disconnectTimeoutMs: 60,
};
const GROUPS = 8;
/** Round trips of 180 to 300 ms. */
const MIN_DELAY_MS = 90;
const MAX_DELAY_MS = 150;
/** Time in which a group must elect its first leader: that of a whole recovery on the platform. */
const ELECTION_BOUND_MS = 12_000;
const OBSERVED_MS = 3_000;
const TEST_TIMEOUT_MS = 60_000;

function startSlowCluster(): Promise<ConsensusCluster> {
  const delay = (): number => MIN_DELAY_MS + Math.random() * (MAX_DELAY_MS - MIN_DELAY_MS);
  return startCluster({ size: 3, consensus: TIMING, network: new LoopbackNetwork(delay) });
}

function leadersOf(cluster: ConsensusCluster): string[] {
  return [...cluster.running.values()]
    .filter(({ group }) => group.isCurrentLeader)
    .map(({ member, group }) => `${member.id} in term ${group.term}`);
}

async function firstLeaderMs(cluster: ConsensusCluster): Promise<number> {
  const startedAt = monotonicMs();
  while (leadersOf(cluster).length === 0) {
    if (monotonicMs() - startedAt > ELECTION_BOUND_MS) return Infinity;
    await sleep(10);
  }
  return monotonicMs() - startedAt;
}

describe('a group whose round trips are longer than its election timeout', () => {
  it(
    'elects a first leader, which stays',
    async () => {
      const clusters = await Promise.all(Array.from({ length: GROUPS }, startSlowCluster));
      const times = await Promise.all(clusters.map(firstLeaderMs));
      expect(Math.max(...times)).toBeLessThan(ELECTION_BOUND_MS);
      const before = clusters.map(leadersOf);
      await sleep(OBSERVED_MS);
      expect(clusters.map(leadersOf)).toEqual(before);
      const [{ group }] = [...clusters[0]!.running.values()].filter(({ group }) => group.isLeader);
      await group.propose(encodeValue('committed'));
    },
    TEST_TIMEOUT_MS,
  );
});
