/** Leader search of the group client: order of members, number of requests, and pauses. */
import { describe, expect, it } from 'vitest';
import { sleep } from '../common/index.js';
import { type Method, defineMethod } from '../wire/index.js';
import { GroupClient } from './group-client.js';
import type { PeerCaller } from './peer-directory.js';
import type { TryResult } from './open-tries.js';

const GROUP = 'test-group';
const ASK = defineMethod<object, TryResult<string>>('test.ask');
const LEADER_DELAY_MS = 520;
const LIMITS = { timeoutMs: 1_500, tryTimeoutMs: 250 };

/** Responds as scripted for each member, and counts the requests. */
class ScriptedPeers implements PeerCaller {
  readonly asked = new Map<string, number>();

  constructor(private readonly members: Record<string, () => Promise<TryResult<string>>>) {}

  async call<Request, Response>(address: string, method: Method<Request, Response>) {
    expect(method.name).toBe(ASK.name);
    this.asked.set(address, (this.asked.get(address) ?? 0) + 1);
    return (await this.members[address]!()) as Response;
  }

  isConnected(): boolean {
    return true;
  }
}

function redirectsTo(leaderAddress: string | undefined): () => Promise<TryResult<string>> {
  return () => Promise.resolve({ leaderAddress, refusal: 'not the leader' });
}

function ask(peers: PeerCaller, addresses: string[]): Promise<string> {
  const client = new GroupClient({ peers, addresses });
  return client.callWithRedirect(GROUP, ASK, {}, (response) => response, LIMITS);
}

describe('a client of a group', () => {
  it('accepts a late response of the leader, which it asks once, and asks others in parallel', async () => {
    const peers = new ScriptedPeers({
      leader: () => sleep(LEADER_DELAY_MS).then(() => ({ response: 'late' })),
      follower: redirectsTo('leader'),
    });
    expect(await ask(peers, ['leader', 'follower'])).toBe('late');
    expect(peers.asked.get('leader')).toBe(1);
    expect(peers.asked.get('follower')).toBeGreaterThan(0);
  });

  it('finds the next leader while the previous one has not responded', async () => {
    let hint = 'old';
    const peers = new ScriptedPeers({
      old: () => new Promise(() => undefined),
      follower: () => redirectsTo(hint)(),
      next: () => Promise.resolve({ response: 'next' }),
    });
    setTimeout(() => (hint = 'next'), LEADER_DELAY_MS);
    const startedAt = performance.now();
    expect(await ask(peers, ['old', 'follower'])).toBe('next');
    // Members are retried at least every 50 ms, even if each one refers to the unresponsive member.
    expect(performance.now() - startedAt).toBeLessThan(LEADER_DELAY_MS + 100);
  });

  it('pauses between members that redirect to each other', async () => {
    const peers = new ScriptedPeers({ a: redirectsTo('b'), b: redirectsTo('a') });
    await expect(ask(peers, ['a', 'b'])).rejects.toThrow('not the leader');
    const asked = [...peers.asked.values()].reduce((sum, count) => sum + count, 0);
    // At most two redirects per pause; after the first ones a pause takes at least 25 ms.
    expect(asked).toBeLessThan((3 * LIMITS.timeoutMs) / 25);
  });

  it('uses new member addresses immediately', async () => {
    const peers = new ScriptedPeers({ leader: () => Promise.resolve({ response: 'here' }) });
    const client = new GroupClient({ peers, addresses: [] });
    setTimeout(() => client.setAddresses(['leader']), 50);
    const startedAt = performance.now();
    const response = client.callWithRedirect(GROUP, ASK, {}, (response) => response, LIMITS);
    expect(await response).toBe('here');
    expect(performance.now() - startedAt).toBeLessThan(LIMITS.tryTimeoutMs - 50);
  });
});
