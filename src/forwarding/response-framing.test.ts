/** Which answers of a back end count as whole, by how their bytes and their connection ended. */
import { afterEach, describe, expect, it } from 'vitest';
import {
  RawBackend,
  type ScriptStep,
  close,
  reset,
  wait,
  write,
} from '../../tests/support/raw-backend.js';
import { type RawOutcome, type RawSend, ownLines, sendRaw } from '../../tests/support/raw-sends.js';
import { BackendConnectionPool } from './backend-connections.js';
import type { SendResult } from './send-attempt.js';

const OWN_ID = 'call-1';
const OWN = ownLines(OWN_ID).join('\r\n');

let backend: RawBackend | undefined;
afterEach(() => backend?.stop());

async function startBackend(...scripts: (readonly ScriptStep[])[]): Promise<BackendConnectionPool> {
  backend = await RawBackend.start((_request, number) => scripts[number] ?? scripts.at(-1)!);
  return new BackendConnectionPool(backend.address, () => 1);
}

function send(
  connections: BackendConnectionPool,
  options: Partial<RawSend> = {},
): Promise<RawOutcome> {
  return sendRaw(connections, { id: OWN_ID, ...options });
}

function head(...lines: string[]): string {
  return ['HTTP/1.1 200 OK', ...ownLines(OWN_ID), ...lines].join('\r\n') + '\r\n\r\n';
}

describe('an answer that ends with its connection', () => {
  const beginning = head() + 'the first half, ';

  it('is whole after an orderly close', async () => {
    const connections = await startBackend([write(`${beginning}the second`), close]);
    const { result, body } = await send(connections);
    expect(result).toMatchObject({ kind: 'complete', framing: 'close' });
    expect(body).toBe('the first half, the second');
  });

  it('is broken when its connection is reset', async () => {
    const connections = await startBackend([write(beginning), ...reset]);
    const { result } = await send(connections);
    expect(result).toMatchObject({ kind: 'broken', hadHead: true });
  });

  it('is broken when its connection is reset right after the head', async () => {
    const connections = await startBackend([write(head()), ...reset]);
    const { result } = await send(connections);
    expect(result).toMatchObject({ kind: 'broken', hadHead: true });
  });

  it('is broken when it is reset while its reader is slow', async () => {
    const connections = await startBackend([write(beginning), wait(30), write('more'), ...reset]);
    const { result } = await send(connections, { mayGoOn: () => false });
    expect(result).toMatchObject({ kind: 'broken', hadHead: true });
  });
});

describe('a slow reader of an answer that ends with its connection', () => {
  it('gets all of it, however often it has to wait', async () => {
    const body = 'x'.repeat(400_000);
    backend = await RawBackend.start(() => [write(head() + body), close]);
    const connections = new BackendConnectionPool(backend.address, () => 1);
    const { result, body: received } = await send(connections, {
      mayGoOn(attempt) {
        setTimeout(() => attempt.resume(), 10);
        return false;
      },
    });
    expect(result).toMatchObject({ kind: 'complete', framing: 'close' });
    expect(received).toBe(body);
  });
});

/** An answer as its bytes, and what it must count as. */
interface Row {
  name: string;
  steps: ScriptStep[];
  expected: Partial<SendResult>;
  method?: string;
}

const whole = (framing: string): Partial<SendResult> =>
  ({ kind: 'complete', framing }) as Partial<SendResult>;
const broken: Partial<SendResult> = { kind: 'broken' };
const fiveBytes = head('Content-Length: 5');
const chunked = head('Transfer-Encoding: chunked');

const rows: Row[] = [
  { name: 'a body of its length', steps: [write(`${fiveBytes}12345`)], expected: whole('length') },
  {
    name: 'a body of its length, reset afterwards',
    steps: [write(`${fiveBytes}12345`), ...reset],
    expected: whole('length'),
  },
  {
    name: 'a body shorter than its length, closed',
    steps: [write(`${fiveBytes}123`), close],
    expected: broken,
  },
  {
    name: 'a body shorter than its length, reset',
    steps: [write(`${fiveBytes}123`), ...reset],
    expected: broken,
  },
  {
    name: 'a body shorter than its length on a connection that ends, reset',
    steps: [write(`${head('Content-Length: 5', 'Connection: close')}123`), ...reset],
    expected: broken,
  },
  {
    name: 'bytes beyond its length',
    steps: [write(`${fiveBytes}12345678`)],
    expected: whole('length'),
  },
  {
    name: 'two equal lengths',
    steps: [write(`${head('Content-Length: 5', 'Content-Length: 5')}12345`), close],
    expected: broken,
  },
  {
    name: 'two different lengths',
    steps: [write(`${head('Content-Length: 5', 'Content-Length: 3')}12345`), close],
    expected: broken,
  },
  {
    name: 'a length beside chunks',
    steps: [write(`${head('Content-Length: 5', 'Transfer-Encoding: chunked')}0\r\n\r\n`), close],
    expected: broken,
  },
  {
    name: 'a length that is no number',
    steps: [write(`${head('Content-Length: 5x')}12345`), close],
    expected: broken,
  },
  {
    name: 'a negative length',
    steps: [write(`${head('Content-Length: -5')}12345`), close],
    expected: broken,
  },
  {
    name: 'chunks with their last one',
    steps: [write(`${chunked}5\r\n12345\r\n0\r\n\r\n`)],
    expected: whole('last-chunk'),
  },
  {
    name: 'chunks without their last one, closed',
    steps: [write(`${chunked}5\r\n12345\r\n`), close],
    expected: broken,
  },
  {
    name: 'chunks without their last one, reset',
    steps: [write(`${chunked}5\r\n12345\r\n`), ...reset],
    expected: broken,
  },
  {
    name: 'a last chunk without its empty line, closed',
    steps: [write(`${chunked}5\r\n12345\r\n0\r\n`), close],
    expected: broken,
  },
  {
    name: 'a chunk shorter than its size',
    steps: [write(`${chunked}9\r\n12345\r\n0\r\n\r\n`), close],
    expected: broken,
  },
  {
    name: 'a chunk size that is no number',
    steps: [write(`${chunked}zz\r\n12345\r\n0\r\n\r\n`), close],
    expected: broken,
  },
  {
    name: 'chunk extensions and trailers, which are dropped',
    steps: [write(`${chunked}5;a=b\r\n12345\r\n0\r\nX-Trailer: t\r\n\r\n`)],
    expected: whole('last-chunk'),
  },
  {
    name: 'a transfer coding that is not chunks, closed',
    steps: [write(`${head('Transfer-Encoding: identity')}12345`), close],
    expected: whole('close'),
  },
  {
    name: 'a close in the middle of the head',
    steps: [write('HTTP/1.1 200 OK\r\nX-Ca'), close],
    expected: broken,
  },
  {
    name: 'a reset in the middle of the head',
    steps: [write('HTTP/1.1 200 OK\r\nX-Ca'), ...reset],
    expected: broken,
  },
  { name: 'a close without a byte', steps: [close], expected: broken },
  { name: 'a reset without a byte', steps: [...reset], expected: broken },
  { name: 'bytes that are no answer', steps: [write('nonsense\r\n\r\n'), close], expected: broken },
  {
    name: 'a head that is too long',
    steps: [write(head(`X-Long: ${'x'.repeat(70_000)}`, 'Content-Length: 0')), close],
    expected: broken,
  },
  {
    name: 'a preliminary answer before the final one',
    steps: [write(`HTTP/1.1 103 Early Hints\r\n\r\n${fiveBytes}12345`)],
    expected: whole('length'),
  },
  {
    name: 'an unasked 100 Continue',
    steps: [write(`HTTP/1.1 100 Continue\r\n\r\n${fiveBytes}12345`), close],
    expected: broken,
  },
  {
    name: 'an upgrade that nobody asked for',
    steps: [
      write(`HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n`),
      close,
    ],
    expected: broken,
  },
  {
    name: 'no body after 204, whatever its head says of a length',
    steps: [write(`HTTP/1.1 204 No Content\r\n${OWN}\r\nContent-Length: 0\r\n\r\n`)],
    expected: whole('head'),
  },
  {
    name: 'no body after 304',
    steps: [write(`HTTP/1.1 304 Not Modified\r\n${OWN}\r\n\r\n`)],
    expected: whole('head'),
  },
  {
    name: 'no body for HEAD, with the length that a body would have',
    steps: [write(fiveBytes)],
    expected: whole('head'),
    method: 'HEAD',
  },
  {
    name: "another call's answer",
    steps: [write('HTTP/1.1 200 OK\r\nX-Call: other\r\nContent-Length: 5\r\n\r\n12345')],
    expected: { kind: 'broken', cause: 'the answer belongs to another call' },
  },
  {
    name: 'a folded header',
    steps: [write(`${head('X-Folded: a\r\n b', 'Content-Length: 5')}12345`), close],
    expected: broken,
  },
  {
    name: 'a space before the colon of its length',
    steps: [write(`${head('Content-Length : 5')}12345`), close],
    expected: broken,
  },
];

describe('what counts as a whole answer', () => {
  it.each(rows)('$name: $expected.kind', async ({ steps, expected, method }) => {
    const connections = await startBackend(steps);
    const { result } = await send(connections, { method });
    expect(result).toMatchObject(expected);
  });

  it.each(rows)('$name: the next call gets its own answer', async ({ steps, method }) => {
    const own = `${head('Content-Length: 3')}own`;
    const connections = await startBackend(steps, [write(own)]);
    await send(connections, { method });
    const { result, body } = await send(connections);
    if (result.kind === 'complete') expect(body).toBe('own');
    else expect(result.kind).toMatch(/^(broken|not-sent)$/);
  });
});
