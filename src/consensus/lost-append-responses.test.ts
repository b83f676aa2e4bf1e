/**
 * Regression test: followers stored entries, but the responses were lost with the connection. The
 * leader learned the match index from heartbeats, but did not advance the commit index.
 */
import { beforeEach, describe, expect, it, vi } from 'vitest';
import { GROUP, startCluster } from '../../tests/support/consensus-cluster.js';
import { LoopbackNetwork } from '../../tests/support/loopback-network.js';
import { simulateTime } from '../../tests/support/simulated-time.js';
import { waitUntil } from '../../tests/support/wait-until.js';
import { sleep } from '../common/index.js';
import { LinkError, encodeValue } from '../wire/index.js';
import type { PeerCaller } from './index.js';
import { APPEND, type AppendRequest } from './messages.js';

vi.mock('node:fs/promises', () => import('../../tests/support/memory-files.js'));

beforeEach(() => simulateTime(1));

/**
 * Time until the lost connection is detected, in milliseconds; heartbeats use another connection.
 */
const DETECTION_MS = 60;
/** Upper bound for a commit, in milliseconds. */
const COMMITTED_WITHIN_MS = 1_500;

/** Drops the responses to selected append requests. */
class ResponseLosingNetwork extends LoopbackNetwork {
  loses: (request: AppendRequest) => boolean = () => false;

  override peersOf(own: string, lane = ''): PeerCaller {
    const peers = super.peersOf(own, lane);
    return {
      isConnected: (address) => peers.isConnected(address),
      call: async (address, method, request, options) => {
        const response = await peers.call(address, method, request, options);
        const isLost = method.name === APPEND.name && this.loses(request as AppendRequest);
        if (!isLost) return response;
        await sleep(DETECTION_MS);
        throw new LinkError('connection replaced', { step: APPEND.name, retriable: true });
      },
    };
  }
}

async function startGroup(network: ResponseLosingNetwork) {
  const cluster = await startCluster({ network, consensus: { maxProposalWaitMs: 300 } });
  const leader = await cluster.waitLeader();
  await cluster.client().execute(GROUP, 'first', { timeoutMs: 5_000 });
  await sleep(200);
  return { cluster, leader };
}

describe('a leader that loses the responses to its appends', () => {
  it('commits entries that its followers hold', async () => {
    const network = new ResponseLosingNetwork();
    const { group } = (await startGroup(network)).leader;
    const lostIndex = group.log.lastIndex + 1;
    let left = 2;
    network.loses = ({ entries }) => entries.some(({ index }) => index === lostIndex) && left-- > 0;
    let isCommitted = false;
    void group.propose(encodeValue('second')).then(() => (isCommitted = true));
    await waitUntil('committed', () => isCommitted, COMMITTED_WITHIN_MS);
  });

  it('commits the first entry of its term', async () => {
    const network = new ResponseLosingNetwork();
    const { cluster, leader } = await startGroup(network);
    const { term } = leader.group;
    let hasLost = false;
    network.loses = ({ entries }) => {
      const isFirst = entries.some((entry) => entry.kind === 'empty' && entry.term > term);
      if (!isFirst || hasLost) return false;
      hasLost = true;
      return true;
    };
    await cluster.crash(leader.member.id);
    const { group } = await cluster.waitLeader(leader.member.id);
    await waitUntil('current', () => group.isCurrentLeader, COMMITTED_WITHIN_MS);
  });

  it('accepts commands again after losing responses under load', async () => {
    const network = new ResponseLosingNetwork();
    const { group } = (await startGroup(network)).leader;
    const until = performance.now() + 500;
    network.loses = ({ entries }) => entries.length > 0 && performance.now() < until;
    const propose = (text: string, bytes: number): Promise<boolean> =>
      group.propose(encodeValue(text.padEnd(bytes, '.'))).then(
        () => true,
        () => false,
      );
    for (let number = 0; number < 12; number += 1) void propose(`early-${number}`, 100_000);
    await sleep(1_500);
    const later: Promise<boolean>[] = [];
    for (let number = 0; number < 20; number += 1) {
      later.push(propose(`later-${number}`, 60_000));
      await sleep(50);
    }
    expect((await Promise.all(later)).filter((wasTaken) => !wasTaken)).toHaveLength(0);
  });
});
