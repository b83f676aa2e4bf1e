/**
 * Regression test: bytes behind a whole response, which named no call, were taken for the response to the next call on the
 * connection. Its claim "not run" let a call that is not safe to repeat run at a second back end.
 */
import { afterEach, describe, expect, it } from 'vitest';
import { RawBackend, type ScriptStep, wait, write } from '../../tests/support/raw-backend.js';
import { identityHeaderLines, sendRaw } from '../../tests/support/raw-sends.js';
import { BackendConnectionPool } from './backend-connections.js';

const WORK_MS = 20;
const NOT_EXECUTED = 'HTTP/1.1 421 Misdirected Request';
const UNNAMED: [string, string][] = [
  ['claims that the call has not run', `${NOT_EXECUTED}\r\nContent-Length: 0\r\n\r\n`],
  [
    'has the mark of the back end',
    'HTTP/1.1 200 OK\r\nX-Stamp: s\r\nContent-Length: 5\r\n\r\nother',
  ],
];

let backend: RawBackend | undefined;
afterEach(() => backend?.stop());

function answerTo(id: string): ScriptStep {
  const lines = ['HTTP/1.1 200 OK', ...identityHeaderLines(id), 'Content-Length: 4'];
  return write(`${lines.join('\r\n')}\r\n\r\nbody`);
}

async function connectTo(...scripts: ScriptStep[][]): Promise<BackendConnectionPool> {
  backend = await RawBackend.start((_request, number) => scripts[number]!);
  return new BackendConnectionPool(backend.address, () => 1);
}

describe.each(UNNAMED)('a response without the id of a call that %s', (_, unnamed) => {
  it('is none on a connection that has carried another call', async () => {
    const late = [write(unnamed), wait(WORK_MS), answerTo('second')];
    const connections = await connectTo([answerTo('first')], late);
    expect((await sendRaw(connections, { id: 'first' })).result.kind).toBe('complete');
    const { result, body } = await sendRaw(connections, { id: 'second' });
    expect(result).toMatchObject({ kind: 'broken', cause: 'the response names no call' });
    expect(body).toBe('');
    await expect.poll(() => backend!.openConnections).toBe(0);
  });

  it('counts on a new connection, where it can be about no other call', async () => {
    const connections = await connectTo([write(unnamed)]);
    const { result } = await sendRaw(connections, { id: 'first' });
    expect(['not-executed', 'complete']).toContain(result.kind);
  });
});

it('a claim with the id of the call counts on a used connection', async () => {
  const named = `${NOT_EXECUTED}\r\nX-Call: second\r\nContent-Length: 0\r\n\r\n`;
  const connections = await connectTo([answerTo('first')], [write(named)]);
  await sendRaw(connections, { id: 'first' });
  const { result } = await sendRaw(connections, { id: 'second' });
  expect(result.kind).toBe('not-executed');
});
