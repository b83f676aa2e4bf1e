/**
 * Regression test for peers that stop responding for a short time: links must recover soon
 * afterwards, and the silence limit must double only once per silence.
 */
import { type AddressInfo, connect, createServer } from 'node:net';
import { describe, expect, it, onTestFinished } from 'vitest';
import { SilencingRelay } from '../../tests/support/silencing-relay.js';
import { waitUntil } from '../../tests/support/wait-until.js';
import type { AdaptiveTimeout } from './adaptive-timeout.js';
import { LinkError } from './errors.js';
import { FramedSocket } from './framed-socket.js';
import { MethodRouter, defineMethod } from './method.js';
import { PeerLink } from './peer-link.js';
import { RpcConnection, createSilenceLimit } from './rpc-connection.js';
import { RpcServer } from './rpc-server.js';

const SECRET = 'a-secret-of-the-test';
const HOST = '127.0.0.1';
const ECHO = defineMethod<{ text: string }, { text: string }>('test.echo');
const LIMITS = { timeoutMs: 2_000 };
/** Time to recover after the peer responds again: the delay to the next attempt, and a margin. */
const RECOVERY_MS = 700;

async function startServer(): Promise<RpcServer> {
  const router = new MethodRouter();
  router.handle(ECHO, ({ text }) => ({ text }));
  const server = await RpcServer.start({ host: HOST, port: 0, secret: SECRET, router });
  onTestFinished(() => server.close());
  return server;
}

function linkTo(address: string): PeerLink {
  const link = new PeerLink({ address, ownName: 'client', secret: SECRET });
  onTestFinished(() => link.close());
  return link;
}

/** Connects while new connections are silent; resolves with the time until the link is up. */
async function connectedAfterMs(silentMs: number): Promise<number> {
  const relay = await SilencingRelay.start((await startServer()).port);
  relay.silence(silentMs);
  const silentSince = performance.now();
  const link = linkTo(relay.address);
  await waitUntil('link up', () => link.isConnected);
  await expect(link.call(ECHO, { text: 'x' }, LIMITS)).resolves.toEqual({ text: 'x' });
  return performance.now() - silentSince;
}

describe('a link to a temporarily unresponsive peer', () => {
  it('is up soon after the peer responds on new connections', async () => {
    const silences = [500, 1_300, 2_000];
    const connected = await Promise.all(silences.map(connectedAfterMs));
    const late = connected.map((time, index) => Math.round(time - silences[index]!));
    expect(Math.max(...late), `after ${late.join()} ms`).toBeLessThan(RECOVERY_MS);
  });

  it('fails the calls on a silent connection soon after a replacement is up', async () => {
    const relay = await SilencingRelay.start((await startServer()).port);
    const link = linkTo(relay.address);
    await link.waitConnected(5_000);
    const silentMs = 1_500;
    const silentSince = performance.now();
    relay.silence(silentMs);
    const lost = link.call(ECHO, { text: '' }, { timeoutMs: 8_000, silenceMs: 300 });
    await expect(lost).rejects.toBeInstanceOf(LinkError);
    expect(performance.now() - silentSince).toBeLessThan(silentMs + RECOVERY_MS);
    await waitUntil('link up', () => link.isConnected, 100);
    await expect(link.call(ECHO, { text: 'x' }, LIMITS)).resolves.toEqual({ text: 'x' });
    await waitUntil('one connection left', () => relay.open === 1, 500);
  });
});

describe('silence limit', () => {
  /** Connects without a handshake to a peer that serves requests. */
  function connectTo(port: number, silenceLimit: AdaptiveTimeout): RpcConnection {
    const socket = connect({ host: HOST, port });
    onTestFinished(() => void socket.destroy());
    const framed = new FramedSocket(socket, 'server');
    const options = { silenceLimit, onSuspect: () => undefined };
    return new RpcConnection(framed, new MethodRouter(), 'server', options);
  }

  async function startPeer(): Promise<number> {
    const router = new MethodRouter();
    router.handle(ECHO, ({ text }) => ({ text }));
    const server = createServer((socket) => {
      new RpcConnection(new FramedSocket(socket, 'client'), router, 'client');
    });
    await new Promise<void>((resolve) => server.listen(0, HOST, resolve));
    onTestFinished(() => void server.close());
    return (server.address() as AddressInfo).port;
  }

  it('doubles once per silence, however many calls time out, and is reset by a response', async () => {
    const relay = await SilencingRelay.start(await startPeer());
    const relayPort = Number(relay.address.split(':')[1]);
    const silenceLimit = createSilenceLimit();
    const baseMs = silenceLimit.currentMs;

    const silent = connectTo(relayPort, silenceLimit);
    await silent.call(ECHO, { text: '' }, LIMITS);
    relay.silence(0);
    const calls = Array.from({ length: 8 }, (_, number) =>
      silent.call(ECHO, { text: '' }, { timeoutMs: 300 + 150 * number }),
    );
    await Promise.allSettled(calls);
    expect(silenceLimit.currentMs).toBe(2 * baseMs);

    await connectTo(relayPort, silenceLimit).call(ECHO, { text: '' }, LIMITS);
    expect(silenceLimit.currentMs).toBe(baseMs);
  });
});
