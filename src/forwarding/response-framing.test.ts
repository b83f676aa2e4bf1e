/** Which responses count as complete, by their framing and the end of the connection. */
import { afterEach, describe, expect, it } from 'vitest';
import {
  RawBackend,
  type ScriptStep,
  close,
  reset,
  wait,
  write,
} from '../../tests/support/raw-backend.js';
import {
  type RawOutcome,
  type RawSend,
  identityHeaderLines,
  sendRaw,
} from '../../tests/support/raw-sends.js';
import { BackendConnectionPool } from './backend-connections.js';
import type { SendResult } from './send-attempt.js';

const OWN_ID = 'call-1';
const OWN_HEADERS = identityHeaderLines(OWN_ID).join('\r\n');

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
  return ['HTTP/1.1 200 OK', ...identityHeaderLines(OWN_ID), ...lines].join('\r\n') + '\r\n\r\n';
}

describe('close-delimited response', () => {
  const partial = head() + 'the first half, ';

  it('is complete after an orderly close', async () => {
    const connections = await startBackend([write(`${partial}the second`), close]);
    const { result, body } = await send(connections);
    expect(result).toMatchObject({ kind: 'complete', framing: 'close' });
    expect(body).toBe('the first half, the second');
  });

  it('is broken when the connection is reset', async () => {
    const connections = await startBackend([write(partial), ...reset]);
    const { result } = await send(connections);
    expect(result).toMatchObject({ kind: 'broken', hadHead: true });
  });

  it('is broken when the connection is reset right after the head', async () => {
    const connections = await startBackend([write(head()), ...reset]);
    const { result } = await send(connections);
    expect(result).toMatchObject({ kind: 'broken', hadHead: true });
  });

  it('is broken when the connection is reset while the reader is slow', async () => {
    const connections = await startBackend([write(partial), wait(30), write('more'), ...reset]);
    const { result } = await send(connections, { shouldContinue: () => false });
    expect(result).toMatchObject({ kind: 'broken', hadHead: true });
  });
});

describe('slow reader of a close-delimited response', () => {
  it('receives the complete body despite repeated backpressure', async () => {
    const body = 'x'.repeat(400_000);
    backend = await RawBackend.start(() => [write(head() + body), close]);
    const connections = new BackendConnectionPool(backend.address, () => 1);
    const { result, body: received } = await send(connections, {
      shouldContinue(attempt) {
        setTimeout(() => attempt.resume(), 10);
        return false;
      },
    });
    expect(result).toMatchObject({ kind: 'complete', framing: 'close' });
    expect(received).toBe(body);
  });
});

/** The bytes of a response, and the expected result. */
interface Case {
  name: string;
  steps: ScriptStep[];
  expected: Partial<SendResult>;
  method?: string;
}

const complete = (framing: string): Partial<SendResult> =>
  ({ kind: 'complete', framing }) as Partial<SendResult>;
const broken: Partial<SendResult> = { kind: 'broken' };
const fiveBytes = head('Content-Length: 5');
const chunked = head('Transfer-Encoding: chunked');

const cases: Case[] = [
  {
    name: 'a body of the announced length',
    steps: [write(`${fiveBytes}12345`)],
    expected: complete('length'),
  },
  {
    name: 'a body of the announced length, reset afterwards',
    steps: [write(`${fiveBytes}12345`), ...reset],
    expected: complete('length'),
  },
  {
    name: 'a body shorter than the announced length, closed',
    steps: [write(`${fiveBytes}123`), close],
    expected: broken,
  },
  {
    name: 'a body shorter than the announced length, reset',
    steps: [write(`${fiveBytes}123`), ...reset],
    expected: broken,
  },
  {
    name: 'a body shorter than the announced length with Connection: close, reset',
    steps: [write(`${head('Content-Length: 5', 'Connection: close')}123`), ...reset],
    expected: broken,
  },
  {
    name: 'bytes beyond the announced length',
    steps: [write(`${fiveBytes}12345678`)],
    expected: complete('length'),
  },
  {
    name: 'two equal Content-Length headers',
    steps: [write(`${head('Content-Length: 5', 'Content-Length: 5')}12345`), close],
    expected: broken,
  },
  {
    name: 'two different Content-Length headers',
    steps: [write(`${head('Content-Length: 5', 'Content-Length: 3')}12345`), close],
    expected: broken,
  },
  {
    name: 'Content-Length with chunked coding',
    steps: [write(`${head('Content-Length: 5', 'Transfer-Encoding: chunked')}0\r\n\r\n`), close],
    expected: broken,
  },
  {
    name: 'a non-numeric length',
    steps: [write(`${head('Content-Length: 5x')}12345`), close],
    expected: broken,
  },
  {
    name: 'a negative length',
    steps: [write(`${head('Content-Length: -5')}12345`), close],
    expected: broken,
  },
  {
    name: 'chunks with the last chunk',
    steps: [write(`${chunked}5\r\n12345\r\n0\r\n\r\n`)],
    expected: complete('last-chunk'),
  },
  {
    name: 'chunks without the last chunk, closed',
    steps: [write(`${chunked}5\r\n12345\r\n`), close],
    expected: broken,
  },
  {
    name: 'chunks without the last chunk, reset',
    steps: [write(`${chunked}5\r\n12345\r\n`), ...reset],
    expected: broken,
  },
  {
    name: 'a last chunk without the final empty line, closed',
    steps: [write(`${chunked}5\r\n12345\r\n0\r\n`), close],
    expected: broken,
  },
  {
    name: 'a chunk shorter than its size',
    steps: [write(`${chunked}9\r\n12345\r\n0\r\n\r\n`), close],
    expected: broken,
  },
  {
    name: 'an invalid chunk size',
    steps: [write(`${chunked}zz\r\n12345\r\n0\r\n\r\n`), close],
    expected: broken,
  },
  {
    name: 'chunk extensions and trailers, which are ignored',
    steps: [write(`${chunked}5;a=b\r\n12345\r\n0\r\nX-Trailer: t\r\n\r\n`)],
    expected: complete('last-chunk'),
  },
  {
    name: 'a transfer coding other than chunked, closed',
    steps: [write(`${head('Transfer-Encoding: identity')}12345`), close],
    expected: complete('close'),
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
  { name: 'a close without any data', steps: [close], expected: broken },
  { name: 'a reset without any data', steps: [...reset], expected: broken },
  { name: 'bytes that are not HTTP', steps: [write('nonsense\r\n\r\n'), close], expected: broken },
  {
    name: 'an oversized head',
    steps: [write(head(`X-Long: ${'x'.repeat(70_000)}`, 'Content-Length: 0')), close],
    expected: broken,
  },
  {
    name: 'an informational response before the final one',
    steps: [write(`HTTP/1.1 103 Early Hints\r\n\r\n${fiveBytes}12345`)],
    expected: complete('length'),
  },
  {
    name: 'an unsolicited 100 Continue',
    steps: [write(`HTTP/1.1 100 Continue\r\n\r\n${fiveBytes}12345`), close],
    expected: broken,
  },
  {
    name: 'an unsolicited upgrade',
    steps: [
      write(`HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n`),
      close,
    ],
    expected: broken,
  },
  {
    name: '204 without a body, with Content-Length 0',
    steps: [write(`HTTP/1.1 204 No Content\r\n${OWN_HEADERS}\r\nContent-Length: 0\r\n\r\n`)],
    expected: complete('head'),
  },
  {
    name: '304 without a body',
    steps: [write(`HTTP/1.1 304 Not Modified\r\n${OWN_HEADERS}\r\n\r\n`)],
    expected: complete('head'),
  },
  {
    name: 'HEAD without a body, with a Content-Length',
    steps: [write(fiveBytes)],
    expected: complete('head'),
    method: 'HEAD',
  },
  {
    name: 'the response to another call',
    steps: [write('HTTP/1.1 200 OK\r\nX-Call: other\r\nContent-Length: 5\r\n\r\n12345')],
    expected: { kind: 'broken', cause: 'the response belongs to another call' },
  },
  {
    name: 'a folded header',
    steps: [write(`${head('X-Folded: a\r\n b', 'Content-Length: 5')}12345`), close],
    expected: broken,
  },
  {
    name: 'a space before the colon of Content-Length',
    steps: [write(`${head('Content-Length : 5')}12345`), close],
    expected: broken,
  },
];

describe('response completeness', () => {
  it.each(cases)('$name: $expected.kind', async ({ steps, expected, method }) => {
    const connections = await startBackend(steps);
    const { result } = await send(connections, { method });
    expect(result).toMatchObject(expected);
  });

  it.each(cases)('$name: the next call gets its own response', async ({ steps, method }) => {
    const response = `${head('Content-Length: 3')}own`;
    const connections = await startBackend(steps, [write(response)]);
    await send(connections, { method });
    const { result, body } = await send(connections);
    if (result.kind === 'complete') expect(body).toBe('own');
    else expect(result.kind).toMatch(/^(broken|not-sent)$/);
  });
});
