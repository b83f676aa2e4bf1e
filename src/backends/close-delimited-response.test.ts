/** Responses that are delimited by the close of the connection. */
import { setTimeout as delay } from 'node:timers/promises';
import { Agent } from 'undici';
import { afterEach, describe, expect, it } from 'vitest';
import {
  RawBackend,
  type ScriptStep,
  close,
  reset,
  write,
} from '../../tests/support/raw-backend.js';
import { backendConnector } from '../http/index.js';
import { callBackend } from './http-call.js';

const HEAD = 'HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n';
const TIMEOUT_MS = 2_000;
/** Larger than the buffers of undici and the socket, so that the parser is paused repeatedly. */
const LARGE_BYTES = 400_000;

let backend: RawBackend | undefined;
const agent = new Agent({ connect: backendConnector(TIMEOUT_MS) });
afterEach(() => backend?.stop());

/** Reads the body with a delay after each chunk. @returns its length */
async function readSlowly(script: readonly ScriptStep[]): Promise<number> {
  backend = await RawBackend.start(() => script);
  const response = await callBackend(agent, {
    step: 'test',
    address: backend.address,
    method: 'GET',
    path: '/',
    headersTimeoutMs: TIMEOUT_MS,
    idleTimeoutMs: TIMEOUT_MS,
  });
  let bytes = 0;
  for await (const chunk of response.body) {
    bytes += (chunk as Buffer).length;
    await delay(5);
  }
  return bytes;
}

describe('close-delimited response', () => {
  it('is complete after an orderly close, even with a slow reader', async () => {
    const script = [write(HEAD + 'x'.repeat(LARGE_BYTES)), close];
    expect(await readSlowly(script)).toBe(LARGE_BYTES);
  });

  it('fails when the connection is reset', async () => {
    await expect(readSlowly([write(`${HEAD}{"answer":`), ...reset])).rejects.toThrow();
  });
});
