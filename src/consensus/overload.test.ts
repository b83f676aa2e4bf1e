/**
 * Regression test: a burst of large commands filled the leader's link. Heartbeats and votes were
 * queued behind appends, batches were resent, and leadership kept changing after the burst.
 */
import { expect, it, vi } from 'vitest';
import {
  type ConsensusCluster,
  GROUP,
  startCluster,
} from '../../tests/support/consensus-cluster.js';
import { LoopbackNetwork } from '../../tests/support/loopback-network.js';
import { MeteredLinks } from '../../tests/support/metered-links.js';
import { simulateTime } from '../../tests/support/simulated-time.js';
import { waitUntil } from '../../tests/support/wait-until.js';
import { monotonicMs, sleep } from '../common/index.js';
import type { GroupClient } from './group-client.js';

vi.mock('node:fs/promises', () => import('../../tests/support/memory-files.js'));

const SEED = 1;
const TIMING = { heartbeatIntervalMs: 60, electionTimeoutMs: 300, startupElectionTimeoutMs: 40 };
const BYTES_PER_SECOND = 47e6 / 8;
const LATENCY_MS = 1;
const COMMAND_BYTES = 17_000;
const VOTERS = 5;
const LEARNERS = ['member-6', 'member-7', 'member-8'];
const CLIENTS = 20;
/** Timeouts of a client for the command and for one member. */
const CLIENT_LIMITS = { timeoutMs: 1_000, tryTimeoutMs: 250 };

const QUIET_PER_SECOND = 25;
const BURST_PER_SECOND = 130;
const BEFORE_MS = 1_000;
const BURST_MS = 4_000;
const AFTER_MS = 5_000;
/** Time after the burst by which service must be back to normal. */
const RECOVERY_MS = 2_000;
/** Bytes that one command takes on the leader's link, which carries 86 commands per second. */
const NEEDED_BYTES = COMMAND_BYTES * (VOTERS - 1);

interface SentCommand {
  sentAt: number;
  isServed: boolean;
}

class Load {
  private readonly commands: SentCommand[] = [];
  private readonly clients: GroupClient[];
  private readonly open = new Set<Promise<void>>();

  constructor(cluster: ConsensusCluster) {
    this.clients = Array.from({ length: CLIENTS }, (_, index) => cluster.client(`client-${index}`));
  }

  /** Sends commands at a constant rate without waiting for results. */
  async send(perSecond: number, forMs: number): Promise<void> {
    const startedAt = monotonicMs();
    for (let sent = 0; monotonicMs() - startedAt < forMs; sent += 1) {
      this.sendOne();
      await sleep(startedAt + ((sent + 1) * 1_000) / perSecond - monotonicMs());
    }
  }

  async finish(): Promise<void> {
    await Promise.all(this.open);
  }

  /** Number of commands sent in an interval, and of those committed within the client timeout. */
  servedBetween(from: number, to: number): { sent: number; served: number } {
    const own = this.commands.filter(({ sentAt }) => sentAt >= from && sentAt < to);
    return { sent: own.length, served: own.filter(({ isServed }) => isServed).length };
  }

  private sendOne(): void {
    const command: SentCommand = { sentAt: monotonicMs(), isServed: false };
    const number = this.commands.push(command);
    const client = this.clients[number % CLIENTS]!;
    const text = `${number}`.padEnd(COMMAND_BYTES, '.');
    const sent = client.execute(GROUP, text, CLIENT_LIMITS).then(
      () => void (command.isServed = true),
      () => undefined,
    );
    this.open.add(sent);
    void sent.finally(() => this.open.delete(sent));
  }
}

async function startGroup(links: MeteredLinks): Promise<ConsensusCluster> {
  const network = new LoopbackNetwork(undefined, links);
  const cluster = await startCluster({ size: VOTERS, consensus: TIMING, network });
  const { group } = await cluster.waitLeader();
  for (const name of LEARNERS) {
    const member = { id: `${name}-first`, name, address: name, role: 'learner' as const };
    await cluster.start(member, false);
    await waitUntil('settled', () => group.isConfigurationSettled);
    await group.addMember(member);
  }
  return cluster;
}

it('keeps its leader and most of its throughput in a burst, and recovers soon afterwards', async () => {
  simulateTime(SEED);
  const links = new MeteredLinks({ bytesPerSecond: BYTES_PER_SECOND, latencyMs: LATENCY_MS });
  const cluster = await startGroup(links);
  const { group } = await cluster.waitLeader();
  const { term } = group;
  const leader = group.leaderAddress!;
  const load = new Load(cluster);
  await load.send(QUIET_PER_SECOND, BEFORE_MS);
  const burstStartAt = monotonicMs();
  const sentBefore = links.sentBy(leader);
  await load.send(BURST_PER_SECOND, BURST_MS);
  const burstEndAt = monotonicMs();
  const burstBytes = links.sentBy(leader) - sentBefore;
  await load.send(QUIET_PER_SECOND, AFTER_MS);
  await load.finish();

  const burst = load.servedBetween(burstStartAt, burstEndAt);
  const after = load.servedBetween(burstEndAt + RECOVERY_MS, burstEndAt + AFTER_MS);
  expect.soft({ leads: group.isLeader, term: group.term }).toEqual({ leads: true, term });
  expect.soft(burst.served * NEEDED_BYTES).toBeGreaterThan(burstBytes / 2);
  expect.soft(burst.served / (BURST_MS / 1_000)).toBeGreaterThan(QUIET_PER_SECOND);
  expect.soft(after.served).toBe(after.sent);
});
