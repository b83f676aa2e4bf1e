/** HTTP layer: events split at any position, bounded bodies, draining. */
import fc from 'fast-check';
import { Agent, request } from 'undici';
import { describe, expect, it, onTestFinished } from 'vitest';
import { StrictCaller } from '../../tests/support/strict-caller.js';
import { waitUntil } from '../../tests/support/wait-until.js';
import { Deferred } from '../common/index.js';
import { SILENT_LOGGER } from '../../lab/silent-logger.js';
import { MemoryBudget } from '../memory-budget/index.js';
import { HttpRouter, HttpServer, readJson, sendJson } from './index.js';
import { EventParser, type ServerSentEvent, formatEvent } from './server-sent-events.js';

const MAX_BYTES = 1_000;

async function startServer(router: HttpRouter): Promise<{ server: HttpServer; url: string }> {
  const server = await HttpServer.start({ host: '127.0.0.1', port: 0, router });
  onTestFinished(() => server.close());
  return { server, url: `http://127.0.0.1:${server.port}` };
}

const echo = new HttpRouter().on(
  'POST',
  '/echo/:name',
  async ({ request: sent, response, parameters }) =>
    sendJson(response, 200, { body: await readJson(sent, MAX_BYTES), name: parameters.name }),
);

describe('events', () => {
  it('are the same wherever the stream is split', () => {
    const text = fc.string({ minLength: 1, unit: fc.constantFrom('a', ' ', ':', 'é', '{') });
    const event = fc.record({ id: text, event: text, data: text });
    const splitPositions = fc.array(fc.integer({ min: 0, max: 200 }), { maxLength: 8 });
    fc.assert(
      fc.property(fc.array(event, { maxLength: 6 }), splitPositions, (events, positions) => {
        const encoded = events.map(formatEvent).join('');
        const parser = new EventParser();
        const parsed: ServerSentEvent[] = [];
        let from = 0;
        for (const end of [...positions.sort((a, b) => a - b), encoded.length]) {
          const to = Math.max(from, Math.min(end, encoded.length));
          parsed.push(...parser.push(encoded.slice(from, to)));
          from = to;
        }
        expect(parsed).toEqual(events);
      }),
    );
  });

  it('are rejected above the size limit', () => {
    const parser = new EventParser();
    expect(() => parser.push('x'.repeat(2 * 1024 * 1024))).toThrow('too long');
  });

  it('skip comments', () => {
    expect(new EventParser().push(': keep-alive\n\ndata: 1\n\n')).toMatchObject([{ data: '1' }]);
  });
});

describe('bodies of many callers', () => {
  // Each body was bounded, and their sum was not.
  it('give way as not run once the memory for them is used up', async () => {
    const memoryBudget = new MemoryBudget({ memoryLimitBytes: 200_000, logger: SILENT_LOGGER });
    const router = new HttpRouter().on('POST', '/size', async ({ request: sent, response }) =>
      sendJson(response, 200, {
        length: JSON.stringify(await readJson(sent, 50_000, memoryBudget)).length,
      }),
    );
    const { server } = await startServer(router);
    const callers: StrictCaller[] = [];
    for (const bytes of [30_000, 20_000, 15_000]) {
      const caller = await StrictCaller.connect(`127.0.0.1:${server.port}`);
      callers.push(caller);
      const head = `POST /size HTTP/1.1\r\nHost: test\r\nContent-Length: ${bytes + 1}\r\n\r\n`;
      const before = memoryBudget.heldBytes;
      caller.socket.write(`${head}"${'x'.repeat(bytes - 1)}`);
      await waitUntil('counted', () => memoryBudget.heldBytes !== before, 5_000);
    }
    const [largest, second, third] = callers;
    await waitUntil('refused', () => largest!.response.isComplete, 5_000);
    expect(largest!.response.status).toBe(503);
    expect(JSON.parse(largest!.response.body)).toMatchObject({
      code: 'no_memory',
      outcome: 'not_run',
    });
    for (const caller of [second!, third!]) {
      caller.socket.write('"');
      await waitUntil('answered', () => caller.response.isComplete, 5_000);
      expect(caller.response.status).toBe(200);
    }
    for (const { socket } of callers) socket.destroy();
    expect([memoryBudget.heldBytes, memoryBudget.holderCount]).toEqual([0, 0]);
  });
});

describe('bodies', () => {
  it.each([
    ['{"a":1}', 200],
    ['{"a":', 400],
    [`"${'x'.repeat(MAX_BYTES)}"`, 413],
  ])('%#: are accepted, or rejected with the right status', async (body, status) => {
    const { url } = await startServer(echo);
    const response = await request(`${url}/echo/me`, { method: 'POST', body });
    expect(response.statusCode).toBe(status);
    const document = (await response.body.json()) as { outcome?: string };
    if (status !== 200) expect(document.outcome).toBe('not_run');
  });

  it('that are truncated do not affect the next request', async () => {
    const { url } = await startServer(echo);
    const headers = { 'content-length': '500' };
    const broken = request(`${url}/echo/me`, {
      method: 'POST',
      headers,
      body: (function* body() {
        yield Buffer.from('{"a"');
        throw new Error('client fails');
      })() as unknown as AsyncIterable<Buffer> & never,
    });
    await expect(broken).rejects.toThrow();
    const next = await request(`${url}/echo/me`, { method: 'POST', body: '1' });
    expect(next.statusCode).toBe(200);
    await next.body.dump();
  });
});

describe('paths', () => {
  it('that are no path of a URL end their request, not the process', async () => {
    const { server } = await startServer(echo);
    const caller = await StrictCaller.connect(`127.0.0.1:${server.port}`);
    caller.socket.write('GET // HTTP/1.1\r\nHost: localhost\r\nConnection: close\r\n\r\n');
    expect(await caller.waitUntilClosed()).toMatchObject({ status: 500, isComplete: true });
  });
});

describe('draining', () => {
  it('answers a late request on a keep-alive connection', async () => {
    const router = new HttpRouter().on('GET', '/', async ({ response }) =>
      sendJson(response, 200, {}),
    );
    const { server, url } = await startServer(router);
    const dispatcher = new Agent({ connections: 1 });
    onTestFinished(() => dispatcher.destroy());
    await (await request(url, { dispatcher })).body.dump();
    const drained = server.drain();
    const late = await request(url, { dispatcher });
    expect(late.statusCode).toBe(200);
    expect(late.headers.connection).toBe('close');
    await late.body.dump();
    await drained;
  });

  it('finishes requests in progress and refuses new connections', async () => {
    const gate = new Deferred<void>();
    const router = new HttpRouter().on('GET', '/slow', async ({ response }) => {
      await gate.promise;
      sendJson(response, 200, {});
    });
    const { server, url } = await startServer(router);
    const inProgress = request(`${url}/slow`);
    while (server.activeRequests === 0) await new Promise((resolve) => setImmediate(resolve));
    const drained = server.drain();
    await waitUntil('new connections refused', () =>
      request(url, { dispatcher: new Agent() }).then(
        async (answer) => answer.body.dump().then(() => false),
        () => true,
      ),
    );
    expect(server.activeRequests).toBe(1);
    gate.resolve();
    const response = await inProgress;
    expect(response.statusCode).toBe(200);
    await response.body.dump();
    await drained;
  });
});
