/** Heads that stop short, and requests sent ahead: they count as memory that the process holds for its callers. */
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { StrictCaller } from '../../tests/support/strict-caller.js';
import { waitUntil } from '../../tests/support/wait-until.js';
import { Deferred } from '../common/index.js';
import { MemoryBudget } from '../memory-budget/index.js';
import { createLogger } from '../observability/index.js';
import { RequestServer, type WholeResponse } from './request-server.js';

const HOST = '127.0.0.1';
/** The budget is 30 % of it. */
const MEMORY_LIMIT_BYTES = 200_000;
const REQUEST = 'GET /x HTTP/1.1\r\nHost: test\r\n\r\n';
const UNFINISHED_HEAD = `GET /x HTTP/1.1\r\nHost: test\r\n${`X-A: ${'a'.repeat(1_000)}\r\n`.repeat(10)}`;
const CALLERS = 20;
/** More than the server waits for the rest of a head, and less than Node does by default. */
const HEAD_TIMEOUT_MS = 30_000;
const OK: WholeResponse = { status: 200, body: '"ok"' };

let server: RequestServer;
let budget: MemoryBudget;
let answer: Deferred<WholeResponse>;
let carriedOut = 0;
beforeEach(async () => {
  carriedOut = 0;
  answer = new Deferred();
  budget = new MemoryBudget({ memoryLimitBytes: MEMORY_LIMIT_BYTES, logger: createLogger({}) });
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
    connections: { budget },
  });
});
afterEach(() => server.close());

function connect(): Promise<StrictCaller> {
  return StrictCaller.connect(`${HOST}:${server.port}`);
}

describe('heads that stop short', () => {
  it('stay within the budget: the largest are refused as not run', async () => {
    const callers = await Promise.all(Array.from({ length: CALLERS }, connect));
    for (const { socket } of callers) socket.write(UNFINISHED_HEAD);
    await waitUntil('refused', () => callers.some(({ hasEnded }) => hasEnded));
    const refused = callers.filter(({ hasEnded }) => hasEnded);
    for (const { response } of refused) {
      expect(response).toMatchObject({ status: 503, isComplete: true });
      expect(response.headers['retry-after']).toBeDefined();
    }
    expect(budget.heldBytes).toBeGreaterThan(0);
    expect(budget.heldBytes).toBeLessThanOrEqual(budget.limitBytes);
    for (const { socket } of callers) socket.destroy();
    await waitUntil('given back', () => budget.holderCount === 0);
  });

  it('are carried out once they are complete, and count no more', async () => {
    answer.resolve(OK);
    const caller = await connect();
    caller.socket.write(UNFINISHED_HEAD);
    await waitUntil('counted', () => budget.heldBytes >= UNFINISHED_HEAD.length);
    caller.socket.write('\r\n');
    await waitUntil('carried out', () => carriedOut === 1);
    expect(budget.heldBytes).toBe(0);
    caller.socket.destroy();
  });
});

describe('a head that is not continued', () => {
  it('is given up, and its connection is closed', async () => {
    const caller = await connect();
    caller.socket.write('GET /x HTTP/1.1\r\n');
    await waitUntil('closed', () => caller.hasEnded, HEAD_TIMEOUT_MS);
    expect(caller.response.status).toBe(408);
  }, 60_000);
});

describe('requests that wait on their connection', () => {
  it('are dropped as the largest holder, and the one that runs is answered', async () => {
    const caller = await connect();
    caller.socket.write(REQUEST);
    await waitUntil('carried out', () => carriedOut === 1);
    const withLargeHead = `${UNFINISHED_HEAD}\r\n`;
    caller.socket.write(withLargeHead.repeat(10));
    await waitUntil('dropped', () => server.connections.droppedRequests > 0);
    expect(budget.heldBytes).toBe(0);
    answer.resolve(OK);
    const answers = await caller.waitUntilAllAnswers();
    expect(answers).toMatchObject([{ status: 200, isComplete: true }]);
    expect(carriedOut).toBe(1);
  });

  it('count for nothing once they are answered', async () => {
    const caller = await connect();
    caller.socket.write(REQUEST.repeat(5));
    await waitUntil('counted', () => budget.heldBytes > 0);
    answer.resolve(OK);
    await waitUntil('carried out', () => carriedOut === 5);
    await waitUntil('given back', () => budget.heldBytes === 0);
    caller.socket.destroy();
  });
});
