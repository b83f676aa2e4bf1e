/**
 * After all members had lost power, each gateway stood still for 1.9 to 2.3 s, all of them at once, until the time of
 * their questions was over ("process.stalled"): two members' connections had failed in one moment, the second failure
 * ended the pause after the first, and the next member failed before that one was read, and so on.
 */
import { expect, it } from 'vitest';
import { sleep } from '../common/index.js';
import { LinkError, defineMethod } from '../wire/index.js';
import { GroupClient } from './group-client.js';
import type { PeerCaller } from './peer-directory.js';

const ASK = defineMethod<object, object>('test.ask');
/** When the open questions fail; members that are asked later fail at once, in milliseconds. */
const LOST_AFTER_MS = 120;
const LIMITS = { timeoutMs: 1_000, tryTimeoutMs: 40 };
/** Two while all were silent, and one every 10 to 50 ms since. */
const MAX_REQUESTS = 45;

it('members that all fail are asked with pauses', async () => {
  let requests = 0;
  const startedAt = performance.now();
  const peers: PeerCaller = {
    isConnected: () => false,
    async call<_Request, Response>(): Promise<Response> {
      requests += 1;
      const leftMs = startedAt + LOST_AFTER_MS - performance.now();
      if (leftMs > 0) await sleep(leftMs);
      throw new LinkError('link is down', { step: ASK.name, retriable: true });
    },
  };
  const client = new GroupClient({ peers, addresses: ['a', 'b', 'c', 'd'] });
  const read = () => ({ leaderAddress: undefined, refusal: 'not the leader' });
  await expect(client.callWithRedirect('group', ASK, {}, read, LIMITS)).rejects.toThrow();
  expect(requests).toBeLessThanOrEqual(MAX_REQUESTS);
});
