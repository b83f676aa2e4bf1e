/** Bytes without end that are no part of a head or body held their call until its deadline. */
import { afterEach, expect, it } from 'vitest';
import { RawBackend, write } from '../../tests/support/raw-backend.js';
import { identityHeaderLines, sendRaw } from '../../tests/support/raw-sends.js';
import { BackendConnectionPool } from './backend-connections.js';

const ID = 'call-1';
const MANY = 'x'.repeat(1024 * 1024);
const EARLY_HINTS = 'HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n';
const CHUNKED = head('Transfer-Encoding: chunked');

let backend: RawBackend | undefined;
afterEach(() => backend?.stop());

function head(...lines: string[]): string {
  return `${['HTTP/1.1 200 OK', ...identityHeaderLines(ID), ...lines].join('\r\n')}\r\n\r\n`;
}

/** Sends a call to a backend that answers with `bytes` and leaves the connection open. */
async function sendTo(bytes: string) {
  backend = await RawBackend.start(() => [write(bytes)]);
  const connections = new BackendConnectionPool(backend.address, () => 1);
  return sendRaw(connections, { id: ID });
}

it.each([
  ['a status line', `HTTP/1.1 200 ${MANY}`, false],
  ['a chunk extension', `${CHUNKED}1;${MANY}`, true],
  ['a chunk extension after data', `${CHUNKED}5\r\nhello\r\n1;${MANY}`, true],
  ['interim responses', EARLY_HINTS.repeat(10_000), false],
])('%s is an unusable answer', async (_, bytes, hadHead) => {
  const { result } = await sendTo(bytes);
  expect(result).toMatchObject({ kind: 'broken', hadHead, reason: 'unusable-answer' });
  await expect.poll(() => backend!.openConnections).toBe(0);
});

it('some interim responses and chunk extensions precede a complete answer', async () => {
  const chunk = `1;name=${'x'.repeat(1_000)}\r\na\r\n`;
  const bytes = `${EARLY_HINTS.repeat(16)}${CHUNKED}${chunk.repeat(2_000)}0\r\n\r\n`;
  const { result, body } = await sendTo(bytes);
  expect([result.kind, body]).toEqual(['complete', 'a'.repeat(2_000)]);
});
