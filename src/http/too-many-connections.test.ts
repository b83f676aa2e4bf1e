/** More connections than a server may have: idle ones give way, and those in use stay. */
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { StrictCaller } from '../../tests/support/strict-caller.js';
import { waitUntil } from '../../tests/support/wait-until.js';
import { Deferred } from '../common/index.js';
import { RequestServer, type WholeResponse } from './request-server.js';

const HOST = '127.0.0.1';
const MAX_CONNECTIONS = 5;
const REQUEST = 'GET /x HTTP/1.1\r\nHost: test\r\n\r\n';
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
    maxBodyBytes: 1_000,
    answer: () => {
      carriedOut += 1;
      return answer.promise;
    },
    refuseTooLarge: () => OK,
    stopping: OK,
    interrupted: OK,
    silent: OK,
    withoutRoom: OK,
    connections: { limits: { maxConnections: MAX_CONNECTIONS } },
  });
});
afterEach(() => server.close());

function connect(): Promise<StrictCaller> {
  return StrictCaller.connect(`${HOST}:${server.port}`);
}

async function connectMany(count: number): Promise<StrictCaller[]> {
  const callers: StrictCaller[] = [];
  for (let index = 0; index < count; index += 1) callers.push(await connect());
  return callers;
}

describe('a crowd of idle connections', () => {
  it('loses those that have been idle longest, and an ordinary caller is served', async () => {
    answer.resolve(OK);
    const crowd = await connectMany(3 * MAX_CONNECTIONS);
    const caller = await connect();
    await waitUntil('closed', () => crowd.filter(({ hasEnded }) => hasEnded).length === 11);
    expect(crowd.slice(0, 11).every(({ hasEnded }) => hasEnded)).toBe(true);
    expect(server.connections.openConnections).toBe(MAX_CONNECTIONS);
    caller.socket.write(REQUEST.replace('\r\n\r\n', '\r\nConnection: close\r\n\r\n'));
    expect(await caller.waitUntilClosed()).toMatchObject({ status: 200, isComplete: true });
    for (const { socket } of crowd) socket.destroy();
  });

  it('includes those that were used before', async () => {
    answer.resolve(OK);
    const [used] = await connectMany(1);
    used!.socket.write(REQUEST);
    await waitUntil('answered', () => used!.response.isComplete);
    const crowd = await connectMany(MAX_CONNECTIONS);
    await waitUntil('closed', () => used!.hasEnded);
    expect(server.connections.closedIdleConnections).toBe(1);
    for (const { socket } of crowd) socket.destroy();
  });
});

describe('connections with requests', () => {
  it('are not closed: a new one is refused with 503, until one is free', async () => {
    const callers = await connectMany(MAX_CONNECTIONS);
    for (const { socket } of callers) socket.write(REQUEST);
    await waitUntil('carried out', () => carriedOut === MAX_CONNECTIONS);
    const late = await connect();
    late.socket.write(REQUEST);
    const refusal = await late.waitUntilClosed();
    expect(refusal).toMatchObject({ status: 503, isComplete: true });
    expect(refusal.headers['retry-after']).toBeDefined();
    expect(server.connections.refusedConnections).toBe(1);
    answer.resolve(OK);
    await waitUntil('answered', () => callers.every(({ response }) => response.isComplete));
    const next = await connect();
    next.socket.write(REQUEST);
    await waitUntil('answered', () => next.response.isComplete);
    expect(next.response.status).toBe(200);
    expect(carriedOut).toBe(MAX_CONNECTIONS + 1);
    for (const { socket } of [...callers, next]) socket.destroy();
  });
});
