/**
 * Regression test: responses with a status of 600 to 999 were passed on to callers, and those below 100 were only stopped by
 * an assertion of the HTTP library. HTTP allows 100 to 599 (RFC 9110, section 15).
 */
import { afterEach, describe, expect, it } from 'vitest';
import {
  RawBackend,
  type ScriptStep,
  close,
  wait,
  write,
} from '../../tests/support/raw-backend.js';
import { identityHeaderLines, sendRaw } from '../../tests/support/raw-sends.js';
import { BackendConnectionPool } from './backend-connections.js';

const ID = 'call-1';
const STATUSES = ['000', '020', '099', '600', '700', '999'];
const BODIES: [string, string[], string][] = [
  ['a length', ['Content-Length: 4'], 'body'],
  ['chunks', ['Transfer-Encoding: chunked'], '4\r\nbody\r\n0\r\n\r\n'],
  ['an empty body', ['Content-Length: 0'], ''],
  ['no length', [], 'body'],
  ['a claim that the call has not run', ['Content-Length: 0', 'X-Refused: 1'], ''],
];

let backend: RawBackend | undefined;
afterEach(() => backend?.stop());

function bytesOf(status: string, lines: string[], body: string): string {
  const head = [`HTTP/1.1 ${status} Odd`, ...identityHeaderLines(ID), ...lines];
  return `${head.join('\r\n')}\r\n\r\n${body}`;
}

async function sendTo(script: readonly ScriptStep[]) {
  backend = await RawBackend.start(() => script);
  return sendRaw(new BackendConnectionPool(backend.address, () => 1), { id: ID });
}

describe.each(STATUSES)('a response with status %s', (status) => {
  it.each(BODIES)('and %s is none, and names the cause', async (_, lines, body) => {
    const { result, body: received } = await sendTo([write(bytesOf(status, lines, body)), close]);
    expect(result).toMatchObject({ kind: 'broken', hadHead: false, reason: 'invalid-status' });
    expect(result).toMatchObject({ cause: expect.stringContaining('no valid status') });
    expect(received).toBe('');
    await expect.poll(() => backend!.openConnections).toBe(0);
  });

  it('whose head arrives in pieces is none', async () => {
    const bytes = bytesOf(status, ['Content-Length: 4'], 'body');
    const pieces = [bytes.slice(0, 10), bytes.slice(10, 30), bytes.slice(30)];
    const script = pieces.flatMap((piece) => [write(piece), wait(10)]);
    const { result } = await sendTo(script);
    expect(result).toMatchObject({ kind: 'broken', reason: 'invalid-status' });
  });

  it('behind interim responses is none', async () => {
    const interim = 'HTTP/1.1 103 Early Hints\r\n\r\n';
    const { result } = await sendTo([write(interim + bytesOf(status, ['Content-Length: 0'], ''))]);
    expect(result).toMatchObject({ kind: 'broken', reason: 'invalid-status' });
  });
});

it.each(['200', '404', '599'])('a response with status %s is complete', async (status) => {
  const { result } = await sendTo([write(bytesOf(status, ['Content-Length: 4'], 'body'))]);
  expect(result).toMatchObject({ kind: 'complete' });
});
