/** Requests that a caller sends ahead: they wait unread, and other callers' requests don't wait for them. */
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { StrictCaller } from '../../tests/support/strict-caller.js';
import { waitUntil } from '../../tests/support/wait-until.js';
import { Deferred, sleep } from '../common/index.js';
import { RequestServer, type WholeResponse } from './request-server.js';

const HOST = '127.0.0.1';
const REQUEST = 'GET /x HTTP/1.1\r\nHost: test\r\n\r\n';
const SENT_AHEAD = 200;
/** The running request and those that may wait on a connection. */
const MAX_RECEIVED = 17;
/** More than one connection may have waiting. */
const MAX_WAITING_OF_ALL = 20;
/** Time in which all of them would be received. */
const SETTLE_MS = 200;
const OK: WholeResponse = { status: 200, body: '"ok"' };

let server: RequestServer;
let answer: Deferred<WholeResponse>;
let carriedOut = 0;
beforeEach(async () => {
  carriedOut = 0;
  answer = new Deferred();
  server = await RequestServer.start({
    host: HOST,
    port: 0,
    maxBodyBytes: 1_000_000,
    answer: () => {
      carriedOut += 1;
      return answer.promise;
    },
    refuseTooLarge: () => OK,
    stopping: OK,
    interrupted: OK,
    silent: OK,
    withoutRoom: OK,
    connections: { limits: { maxWaitingRequests: MAX_WAITING_OF_ALL } },
  });
});
afterEach(() => server.close());

function connect(): Promise<StrictCaller> {
  return StrictCaller.connect(`${HOST}:${server.port}`);
}

describe('requests that are sent ahead in one write', () => {
  it('are not parsed beyond those that may wait', async () => {
    const caller = await connect();
    caller.socket.write(REQUEST.repeat(SENT_AHEAD));
    await waitUntil('received', () => server.activeRequests > 0);
    await sleep(SETTLE_MS);
    expect(server.activeRequests).toBeLessThanOrEqual(MAX_RECEIVED);
    caller.socket.destroy();
  });

  it('are all answered, also if the caller closes its side behind them', async () => {
    answer.resolve(OK);
    const caller = await connect();
    const last = REQUEST.replace('\r\n\r\n', '\r\nConnection: close\r\n\r\n');
    caller.socket.end(REQUEST.repeat(SENT_AHEAD - 1) + last);
    const answers = await caller.waitUntilAllAnswers();
    expect(answers).toHaveLength(SENT_AHEAD);
    expect(answers.every(({ isComplete, status }) => isComplete && status === OK.status)).toBe(
      true,
    );
  });

  it('are noticed to be abandoned while the first is carried out', async () => {
    const caller = await connect();
    caller.socket.write(REQUEST.repeat(MAX_RECEIVED - 1));
    await waitUntil('received', () => server.activeRequests === MAX_RECEIVED - 1);
    caller.socket.destroy();
    await waitUntil('forgotten', () => server.activeRequests === 0);
    expect(carriedOut).toBe(1);
  });
});

describe('requests that are sent ahead on many connections', () => {
  const CONNECTIONS = 10;
  const REQUESTS = 10;

  it('are bounded together, and all are answered', async () => {
    const callers = await Promise.all(Array.from({ length: CONNECTIONS }, connect));
    for (const { socket } of callers) socket.write(REQUEST.repeat(REQUESTS));
    await waitUntil('received', () => carriedOut === CONNECTIONS);
    await sleep(SETTLE_MS);
    // One running and one waiting on each connection, beside those of the limit.
    expect(server.activeRequests).toBeLessThanOrEqual(MAX_WAITING_OF_ALL + 2 * CONNECTIONS);
    answer.resolve(OK);
    await waitUntil('answered', () => carriedOut === CONNECTIONS * REQUESTS);
    for (const { socket } of callers) socket.destroy();
  });
});

describe('a body in chunks of one byte', () => {
  const CHUNK = '1\r\nx\r\n';
  const CHUNKS = 4_000;
  const HEAD = 'POST /x HTTP/1.1\r\nHost: test\r\nTransfer-Encoding: chunked\r\n\r\n';

  it('is received completely', async () => {
    answer.resolve(OK);
    const caller = await connect();
    caller.socket.write(`${HEAD}${CHUNK.repeat(CHUNKS)}0\r\n\r\n${REQUEST}`);
    await waitUntil('answered', () => carriedOut === 2);
  });
});

describe('a body of known length with many lines', () => {
  it('is received completely, and the request behind it too', async () => {
    answer.resolve(OK);
    const caller = await connect();
    const body = 'x\r\n\r\n'.repeat(20_000);
    const head = `POST /x HTTP/1.1\r\nHost: test\r\nContent-Length: ${body.length}\r\n\r\n`;
    caller.socket.write(`${head}${body}${REQUEST}`);
    await waitUntil('answered', () => carriedOut === 2);
  });
});

describe('a stop while requests wait unparsed', () => {
  it('answers them before the server closes', async () => {
    const caller = await connect();
    caller.socket.write(REQUEST.repeat(MAX_RECEIVED + 3));
    await waitUntil('received', () => server.activeRequests === MAX_RECEIVED);
    const drained = server.drain({ graceMs: 5_000, noticeMs: 0, closingMs: 500 });
    answer.resolve(OK);
    await drained;
    const answers = await caller.waitUntilAllAnswers();
    expect(answers).toHaveLength(MAX_RECEIVED + 3);
    expect(answers.every(({ isComplete }) => isComplete)).toBe(true);
  });
});
