/**
 * The connection to a leader was lost with a question on it, and a new one was there at once; yet the
 * question went out again only 150 to 300 ms later. The failure waited for the end of a pause between
 * members, and then for another pause and a member that pointed at the same leader once more.
 */
import { expect, it } from 'vitest';
import { sleep } from '../common/index.js';
import { LinkError, defineMethod } from '../wire/index.js';
import { GroupClient } from './group-client.js';
import type { TryResult } from './open-tries.js';
import type { PeerCaller } from './peer-directory.js';

const ASK = defineMethod<object, TryResult<string>>('test.ask');
/** Within a pause, whose end must not be waited for. */
const LOST_AFTER_MS = 700;
const LIMITS = { timeoutMs: 5_000, tryTimeoutMs: 250, maximumPauseMs: 2_000 };
/** Far under a pause, which lasts 1 s at least after the first few. */
const RETRY_WITHIN_MS = 150;

/** A leader whose first question is lost with its connection, and a member that points at it. */
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

it('a question that was lost with its connection is asked again at once', async () => {
  const peers = new LosingPeers();
  const client = new GroupClient({ peers, addresses: ['leader', 'follower'] });
  const startedAt = performance.now();
  const result = client.callWithRedirect('group', ASK, {}, (response) => response, LIMITS);
  expect(await result).toBe('here');
  expect(performance.now() - startedAt).toBeLessThan(LOST_AFTER_MS + RETRY_WITHIN_MS);
  expect(peers.leaderRequests).toBe(2);
});
