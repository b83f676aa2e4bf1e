/**
 * A leader's connection went silent for good and was replaced; later the leader died, and its follower was
 * not told. The accepting side never hears of the end of a connection that is silent both ways, and
 * counted it as a sign that the peer was still there: an election that could begin 130 ms after the loss of
 * the leader's connection waited for the time-out of its heartbeats.
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

it('tells the server that a peer has left though one of its connections went silent before', async () => {
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
  await waitUntil('told', () => disconnected.length > 0, REPORTED_WITHIN_MS);
  expect(disconnected).toEqual(['leader']);
});
