/** Answers without an end, which were read whole before their size was looked at. */
import { type IncomingMessage, type Server, type ServerResponse, createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { afterEach, describe, expect, it } from 'vitest';
import { Agent, request } from 'undici';
import { callBackend } from '../backends/http-call.js';
import { BodyBoundError, readBoundedJson } from './bounded-body.js';

const BOUNDS = { maxBytes: 100_000, timeoutMs: 5_000 };
const CHUNK = Buffer.alloc(10_000, 'x');
/** More than any bound and than what the kernel buffers, so that the server of a reader without a bound ends it. */
const MAX_SENT_BYTES = 64 * 1024 * 1024;

const agent = new Agent();
let server: Server | undefined;
let sentBytes = 0;

afterEach(() => {
  server?.closeAllConnections();
  server?.close();
});

async function start(answer: (response: ServerResponse) => void): Promise<string> {
  sentBytes = 0;
  const serve = (_request: IncomingMessage, response: ServerResponse): void => answer(response);
  server = createServer(serve);
  await new Promise<void>((resolve) => server!.listen(0, '127.0.0.1', resolve));
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

/** Sends as fast as the reader takes it. */
function sendWithoutEnd(status: number): (response: ServerResponse) => void {
  return (response) => {
    response.writeHead(status);
    const send = (): void => {
      if (response.destroyed) return;
      sentBytes += CHUNK.length;
      if (sentBytes > MAX_SENT_BYTES) response.end();
      else if (response.write(CHUNK)) setImmediate(send);
      else response.once('drain', send);
    };
    send();
  };
}

async function readFrom(address: string, bounds = BOUNDS): Promise<unknown> {
  const { body } = await request(`http://${address}/`, { dispatcher: agent });
  return readBoundedJson(body, bounds);
}

describe('the body of another process', () => {
  it('is read whole if it is within its bounds', async () => {
    const address = await start((response) =>
      response.end(JSON.stringify({ text: 'ä'.repeat(9) })),
    );
    expect(await readFrom(address)).toEqual({ text: 'ä'.repeat(9) });
  });

  it('is not read to its end if it is too large', async () => {
    const address = await start(sendWithoutEnd(200));
    await expect(readFrom(address)).rejects.toThrow(BodyBoundError);
    expect(sentBytes).toBeLessThan(MAX_SENT_BYTES);
  });

  // A timeout between two chunks never ends a body that keeps coming.
  it('is not waited for without end while it trickles in', async () => {
    let timer: NodeJS.Timeout;
    const address = await start((response) => {
      timer = setInterval(() => response.write('1'), 10);
      response.once('close', () => clearInterval(timer));
    });
    const bounds = { ...BOUNDS, timeoutMs: 100 };
    await expect(readFrom(address, bounds)).rejects.toThrow(BodyBoundError);
  });

  it('is not read to its end if it is that of a refusal', async () => {
    const address = await start(sendWithoutEnd(500));
    const call = callBackend(agent, {
      step: 'test',
      address,
      method: 'GET',
      path: '/',
      headersTimeoutMs: 5_000,
      idleTimeoutMs: 5_000,
    });
    await expect(call).rejects.toThrow('unexpected status 500');
    expect(sentBytes).toBeLessThan(MAX_SENT_BYTES);
  });
});
