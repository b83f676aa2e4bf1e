/** Answers that their callers don't read: their connections are closed, and slow readers keep theirs. */
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { StrictCaller } from '../../tests/support/strict-caller.js';
import { waitUntil } from '../../tests/support/wait-until.js';
import { sleep } from '../common/index.js';
import { RequestServer, type WholeResponse } from './request-server.js';

const HOST = '127.0.0.1';
/** More than the socket buffers of both sides hold. */
const ANSWER_BYTES = 32 * 1024 * 1024;
const UNREAD_TIMEOUT_MS = 300;
const REQUEST = 'GET /x HTTP/1.1\r\nHost: test\r\n\r\n';
const LARGE: WholeResponse = { status: 200, body: 'x'.repeat(ANSWER_BYTES) };

let server: RequestServer;
beforeEach(async () => {
  server = await RequestServer.start({
    host: HOST,
    port: 0,
    maxBodyBytes: 1_000,
    answer: () => Promise.resolve(LARGE),
    refuseTooLarge: () => LARGE,
    stopping: LARGE,
    interrupted: LARGE,
    silent: LARGE,
    withoutRoom: LARGE,
    connections: { limits: { unreadTimeoutMs: UNREAD_TIMEOUT_MS } },
  });
});
afterEach(() => server.close());

describe('a caller', () => {
  it('that takes nothing of its answer loses its connection', async () => {
    const caller = await StrictCaller.connect(`${HOST}:${server.port}`);
    caller.socket.pause();
    caller.socket.write(REQUEST.repeat(3));
    await waitUntil('received', () => server.activeRequests > 0);
    await waitUntil('closed', () => server.activeRequests === 0);
    caller.socket.destroy();
  });

  it('that reads slowly gets its answer', async () => {
    const caller = await StrictCaller.connect(`${HOST}:${server.port}`);
    caller.socket.pause();
    caller.socket.write(REQUEST);
    let received = 0;
    caller.socket.on('data', (chunk: Buffer) => (received += chunk.length));
    while (received < ANSWER_BYTES && !caller.hasEnded) {
      await sleep(UNREAD_TIMEOUT_MS / 6);
      caller.socket.resume();
      await sleep(1);
      caller.socket.pause();
    }
    expect(received).toBeGreaterThanOrEqual(ANSWER_BYTES);
    caller.socket.destroy();
  }, 60_000);
});
