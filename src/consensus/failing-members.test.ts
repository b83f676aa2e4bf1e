/**
 * Regression test: when several members failed together, the client retried without a pause and
 * kept the event loop busy until the request timed out.
 */
import { expect, it } from 'vitest';
import { sleep } from '../common/index.js';
import { LinkError, defineMethod } from '../wire/index.js';
import { GroupClient } from './group-client.js';
import type { PeerCaller } from './peer-directory.js';

const ASK = defineMethod<object, object>('test.ask');
/** Pending requests fail at this time, in milliseconds; later requests fail immediately. */
const LOST_AFTER_MS = 120;
const LIMITS = { timeoutMs: 1_000, tryTimeoutMs: 40 };
/** Initial requests, plus one for every retry pause of 10 to 50 ms. */
const MAX_REQUESTS = 45;

it('pauses between attempts when all members fail', async () => {
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
