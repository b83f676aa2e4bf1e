/** Requests that a server cuts without an answer when it drains, and bodies that it doesn't read completely. */
import { afterEach, describe, expect, it } from 'vitest';
import { StrictCaller, type StrictResponse } from '../../tests/support/strict-caller.js';
import { waitUntil } from '../../tests/support/wait-until.js';
import { SILENT_LOGGER } from '../../lab/silent-logger.js';
import { Deferred } from '../common/index.js';
import { MemoryBudget } from '../memory-budget/index.js';
import {
  RequestServer,
  type RequestServerOptions,
  type WholeRequest,
  type WholeResponse,
} from './request-server.js';

const HOST = '127.0.0.1';
const MAX_BODY_BYTES = 100;
const WAIT_MS = 5_000;
const OK = { status: 200, body: '"ok"' };
const TOO_LARGE = { status: 400, body: '"too large"' };
const SILENT = { status: 408, body: '"silent"' };
const WITHOUT_ROOM = { status: 503, body: '"without room"' };
const STOPPING = { status: 503, body: '"stopping"' };
const INTERRUPTED = { status: 503, body: '"interrupted"' };
const REQUEST = 'POST /x HTTP/1.1\r\nHost: test\r\nContent-Length: 1\r\n\r\n1';
const TIMING = { graceMs: 10_000, noticeMs: 0, closingMs: 500 };
/** Requests are due 200 ms after the request to stop. */
const SHORT_TIMING = { graceMs: 700, noticeMs: 0, closingMs: 500 };

const received: WholeRequest[] = [];
let answer: Deferred<WholeResponse>;
let server: RequestServer;

async function startServer(options: Partial<RequestServerOptions> = {}): Promise<void> {
  received.length = 0;
  answer = new Deferred();
  server = await RequestServer.start({
    host: HOST,
    port: 0,
    maxBodyBytes: MAX_BODY_BYTES,
    answer: (request) => {
      received.push(request);
      return answer.promise;
    },
    refuseTooLarge: () => TOO_LARGE,
    silent: SILENT,
    withoutRoom: WITHOUT_ROOM,
    stopping: STOPPING,
    interrupted: INTERRUPTED,
    ...options,
  });
}

afterEach(() => server.close());

function connect(): Promise<StrictCaller> {
  return StrictCaller.connect(`${HOST}:${server.port}`);
}

async function send(text: string, running = 1): Promise<StrictCaller> {
  const caller = await connect();
  caller.socket.write(text);
  await waitUntil('received', () => received.length === running, WAIT_MS);
  return caller;
}

function summaryOf({ status, body, isComplete }: StrictResponse): WholeResponse | undefined {
  return isComplete ? { status: status!, body } : undefined;
}

describe('a server that drains', () => {
  it('waits for a request that is carried out', async () => {
    await startServer();
    const caller = await send(REQUEST);
    const drained = server.drain(TIMING);
    answer.resolve(OK);
    expect(summaryOf(await caller.waitUntilClosed())).toEqual(OK);
    expect(await drained).toMatchObject({ refused: 0, interrupted: 0, unsent: 0 });
  });

  it('answers a request that is still carried out at the end, once', async () => {
    await startServer();
    const caller = await send(REQUEST);
    const summary = await server.drain(SHORT_TIMING);
    answer.resolve(OK);
    expect(summary).toMatchObject({ refused: 0, interrupted: 1, unsent: 0 });
    expect((await caller.waitUntilAllAnswers()).map(summaryOf)).toEqual([INTERRUPTED]);
  });

  it('refuses the requests that wait behind one that is interrupted', async () => {
    await startServer();
    const caller = await send(REQUEST + REQUEST);
    const summary = await server.drain(SHORT_TIMING);
    expect(summary).toMatchObject({ refused: 1, interrupted: 1, unsent: 0 });
    const answers = (await caller.waitUntilAllAnswers()).map(summaryOf);
    expect(answers).toEqual([INTERRUPTED, STOPPING]);
    expect(received.length).toBe(1);
  });

  it('refuses a request that is received in part', async () => {
    await startServer();
    const caller = await connect();
    caller.socket.write(REQUEST.slice(0, -1));
    await waitUntil('received in part', () => server.activeRequests === 1, WAIT_MS);
    expect(await server.drain(TIMING)).toMatchObject({ refused: 1, interrupted: 0, unsent: 0 });
    expect(summaryOf(await caller.waitUntilClosed())).toEqual(STOPPING);
  });

  it('does not wait for a caller that has left', async () => {
    await startServer();
    const caller = await send(REQUEST);
    caller.socket.destroy();
    await waitUntil('forgotten', () => server.activeRequests === 0, WAIT_MS);
    expect((await server.drain(TIMING)).ms).toBeLessThan(WAIT_MS);
  });
});

describe('a request whose body is too large', () => {
  it('gets an answer before its end, and is not carried out', async () => {
    await startServer();
    const caller = await connect();
    const head = `POST /x HTTP/1.1\r\nHost: test\r\nContent-Length: ${2 * MAX_BODY_BYTES}\r\n\r\n`;
    caller.socket.write(head + 'x'.repeat(MAX_BODY_BYTES + 1));
    expect(summaryOf(await caller.waitUntilClosed())).toEqual(TOO_LARGE);
    expect(received).toEqual([]);
  });
});

/** @param limitBytes size of the budget itself */
function budgetOf(limitBytes: number): MemoryBudget {
  return new MemoryBudget({ memoryLimitBytes: limitBytes / 0.3, logger: SILENT_LOGGER });
}

function headOf(bodyBytes: number): string {
  return `POST /x HTTP/1.1\r\nHost: test\r\nContent-Length: ${bodyBytes}\r\n\r\n`;
}

// Each body was bounded, and their sum was not: 346 MB of them took a control process to 1,684 MB.
describe('bodies of many callers', () => {
  it('give way as not carried out once the budget is exhausted, the largest first', async () => {
    const memoryBudget = budgetOf(100_000);
    await startServer({ memoryBudget, maxBodyBytes: 50_000 });
    const callers: StrictCaller[] = [];
    for (const bytes of [40_000, 45_000]) {
      const caller = await connect();
      callers.push(caller);
      const before = memoryBudget.heldBytes;
      caller.socket.write(headOf(50_000) + 'x'.repeat(bytes));
      await waitUntil('counted', () => memoryBudget.heldBytes === before + bytes, WAIT_MS);
    }
    const [first, second] = callers;
    const third = await connect();
    third.socket.write(headOf(50_000) + 'x'.repeat(20_000));
    expect(summaryOf(await second!.waitUntilClosed())).toEqual(WITHOUT_ROOM);
    expect(received).toEqual([]);
    answer.resolve(OK);
    first!.socket.write('x'.repeat(10_000));
    await waitUntil('answered', () => first!.response.isComplete, WAIT_MS);
    expect(summaryOf(first!.response)).toEqual(OK);
    first!.socket.destroy();
    third.socket.destroy();
    await waitUntil('all given back', () => memoryBudget.holderCount === 0, WAIT_MS);
    expect(memoryBudget.heldBytes).toBe(0);
  });

  it('are not carried out while others that are leave no room, which are never ended', async () => {
    const memoryBudget = budgetOf(100);
    await startServer({ memoryBudget });
    const running = await send(headOf(60) + 'x'.repeat(60));
    expect(memoryBudget.heldBytesOf('running-request')).toBe(60);
    const refused = await connect();
    refused.socket.write(headOf(60) + 'x'.repeat(60));
    await waitUntil('answered', () => refused.response.isComplete, WAIT_MS);
    expect(summaryOf(refused.response)).toEqual(WITHOUT_ROOM);
    expect(received.length).toBe(1);
    answer.resolve(OK);
    await waitUntil('answered', () => running.response.isComplete, WAIT_MS);
    expect(summaryOf(running.response)).toEqual(OK);
    await waitUntil('all given back', () => memoryBudget.holderCount === 0, WAIT_MS);
  });

  it('that stop short get an answer that says so', async () => {
    const memoryBudget = budgetOf(100);
    await startServer({ memoryBudget, bodySilenceMs: 50 });
    const caller = await connect();
    caller.socket.write(headOf(50) + 'x'.repeat(49));
    expect(summaryOf(await caller.waitUntilClosed())).toEqual(SILENT);
    expect([received.length, memoryBudget.holderCount]).toEqual([0, 0]);
  });
});

describe('an answer that its caller does not read', () => {
  it('is counted, and gives way as the largest holder', async () => {
    const memoryBudget = budgetOf(40_000_000);
    await startServer({ memoryBudget });
    const caller = await send(REQUEST);
    caller.socket.pause();
    answer.resolve({ status: 200, body: 'x'.repeat(30_000_000) });
    await waitUntil('counted', () => memoryBudget.heldBytesOf('answer') > 0, WAIT_MS);
    memoryBudget.hold({ kind: 'document' }).resize(20_000_000);
    expect(memoryBudget.heldBytesOf('answer')).toBe(0);
    caller.socket.resume();
    await waitUntil('closed', () => server.activeRequests === 0, WAIT_MS);
  });
});
