/**
 * Regression test: after a connection was lost with a pending request, the client waited for the
 * retry pause although the link was up again.
 */
import { expect, it } from 'vitest';
import { sleep } from '../common/index.js';
import { LinkError, defineMethod } from '../wire/index.js';
import { GroupClient } from './group-client.js';
import type { TryResult } from './open-tries.js';
import type { PeerCaller } from './peer-directory.js';

const ASK = defineMethod<object, TryResult<string>>('test.ask');
/** Falls within a retry pause. */
const LOST_AFTER_MS = 700;
const LIMITS = { timeoutMs: 5_000, tryTimeoutMs: 250, maximumPauseMs: 2_000 };
/** Much shorter than a retry pause, which takes at least 1 s after the first few. */
const RETRY_WITHIN_MS = 150;

/** A leader that loses the first request with its connection, and a member that redirects to it. */
class LosingPeers implements PeerCaller {
  leaderRequests = 0;

  async call<_Request, Response>(address: string) {
    return (address === 'leader' ? await this.askLeader() : redirectToLeader()) as Response;
  }

  isConnected(): boolean {
    return true;
  }

  private async askLeader(): Promise<TryResult<string>> {
    this.leaderRequests += 1;
    if (this.leaderRequests > 1) return { response: 'here' };
    await sleep(LOST_AFTER_MS);
    throw new LinkError('link is down', { step: ASK.name, peer: 'leader', retriable: true });
  }
}

function redirectToLeader(): TryResult<string> {
  return { leaderAddress: 'leader', refusal: 'not the leader' };
}

it('repeats a request immediately after its connection was lost', async () => {
  const peers = new LosingPeers();
  const client = new GroupClient({ peers, addresses: ['leader', 'follower'] });
  const startedAt = performance.now();
  const result = client.callWithRedirect('group', ASK, {}, (response) => response, LIMITS);
  expect(await result).toBe('here');
  expect(performance.now() - startedAt).toBeLessThan(LOST_AFTER_MS + RETRY_WITHIN_MS);
  expect(peers.leaderRequests).toBe(2);
});
