/** Answers of back ends that end with their connection, read by the clients of this slice. */
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
/** Far more than undici and the socket buffer, so that its parser is paused again and again. */
const LARGE_BYTES = 400_000;

let backend: RawBackend | undefined;
const agent = new Agent({ connect: backendConnector(TIMEOUT_MS) });
afterEach(() => backend?.stop());

/** Reads the whole body, pausing at each part. @returns its length */
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

describe('an answer that ends with its connection', () => {
  it('is whole after an orderly close, however slowly it is read', async () => {
    const script = [write(HEAD + 'x'.repeat(LARGE_BYTES)), close];
    expect(await readSlowly(script)).toBe(LARGE_BYTES);
  });

  it('fails when it is reset', async () => {
    await expect(readSlowly([write(`${HEAD}{"answer":`), ...reset])).rejects.toThrow();
  });
});
