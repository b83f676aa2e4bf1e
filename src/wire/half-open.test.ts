/**
 * Regression test: a half-open connection that had been replaced still counted as connected on the
 * server, so the disconnect of its peer was not reported and an election was delayed.
 */
import { expect, it, onTestFinished } from 'vitest';
import { SilencingRelay } from '../../tests/support/silencing-relay.js';
import { waitUntil } from '../../tests/support/wait-until.js';
import { sleep } from '../common/index.js';
import { MethodRouter, defineMethod } from './method.js';
import { PeerLink } from './peer-link.js';
import { MAX_SILENCE_LIMIT_MS } from './rpc-connection.js';
import { RpcServer } from './rpc-server.js';

const SECRET = 'a-secret-of-the-test';
const HOST = '127.0.0.1';
const ECHO = defineMethod<{ text: string }, { text: string }>('test.echo');
const LIMITS = { timeoutMs: 2_000, silenceMs: 300 };
const REPORTED_WITHIN_MS = 500;

it('reports a disconnected peer despite an earlier half-open connection', async () => {
  const router = new MethodRouter();
  router.handle(ECHO, ({ text }) => ({ text }));
  const disconnected: string[] = [];
  const onDisconnect = (name: string): void => void disconnected.push(name);
  const options = { host: HOST, port: 0, secret: SECRET, router, onDisconnect };
  const server = await RpcServer.start(options);
  onTestFinished(() => server.close());
  const relay = await SilencingRelay.start(server.port);
  const link = new PeerLink({ address: relay.address, ownName: 'leader', secret: SECRET });
  onTestFinished(() => link.close());

  await link.waitConnected(5_000);
  relay.silence(0);
  await expect(link.call(ECHO, { text: '' }, LIMITS)).rejects.toThrow();
  await waitUntil('replaced', () => link.isConnected);
  await sleep(MAX_SILENCE_LIMIT_MS);
  await link.call(ECHO, { text: '' }, LIMITS);
  expect(disconnected).toEqual([]);

  link.close();
  await waitUntil('disconnect reported', () => disconnected.length > 0, REPORTED_WITHIN_MS);
  expect(disconnected).toEqual(['leader']);
});
