/** Each message took a write, two timers and a copy of its own, most of what a busy member spent on it. */
import { type AddressInfo, type Server, type Socket, connect, createServer } from 'node:net';
import { afterEach, describe, expect, it, vi } from 'vitest';
import { Deferred, TimeoutError } from '../common/index.js';
import { FramedSocket } from './framed-socket.js';
import { MethodRouter, defineMethod } from './method.js';
import { RpcConnection } from './rpc-connection.js';

const ECHO = defineMethod<number, number>('test.echo');
const SLOW = defineMethod<number, number>('test.slow');
const REQUESTS = 50;
const LIMITS = { timeoutMs: 5_000, silenceMs: 2_000 };

const servers: Server[] = [];
const sockets: Socket[] = [];

afterEach(() => {
  vi.restoreAllMocks();
  for (const socket of sockets.splice(0)) socket.destroy();
  for (const server of servers.splice(0)) server.close();
});

interface ConnectedPair {
  client: RpcConnection;
  server: RpcConnection;
  clientSocket: Socket;
  serverSocket: Socket;
}

async function connectPair(router: MethodRouter): Promise<ConnectedPair> {
  const accepted = new Deferred<Socket>();
  const listener = createServer((socket) => accepted.resolve(socket));
  servers.push(listener);
  await new Promise<void>((resolve) => listener.listen(0, '127.0.0.1', resolve));
  const clientSocket = connect((listener.address() as AddressInfo).port, '127.0.0.1');
  const serverSocket = await accepted.promise;
  sockets.push(clientSocket, serverSocket);
  const server = new RpcConnection(new FramedSocket(serverSocket, 'client'), router, 'client');
  const client = new RpcConnection(new FramedSocket(clientSocket, 'server'), router, 'server');
  return { client, server, clientSocket, serverSocket };
}

function echoRouter(): MethodRouter {
  const router = new MethodRouter();
  router.handle(ECHO, (number) => number);
  router.handle(SLOW, () => new Promise<number>(() => undefined));
  return router;
}

describe('the messages of one turn of the event loop', () => {
  it('are written at once, and answered at once', async () => {
    const { client, clientSocket, serverSocket } = await connectPair(echoRouter());
    const requestWrites = vi.spyOn(clientSocket, 'write');
    const responseWrites = vi.spyOn(serverSocket, 'write');
    const numbers = Array.from({ length: REQUESTS }, (_, number) => number);
    const calls = numbers.map((number) => client.call(ECHO, number, LIMITS));
    expect(await Promise.all(calls)).toEqual(numbers);
    expect(requestWrites).toHaveBeenCalledTimes(1);
    expect(responseWrites.mock.calls.length).toBeLessThan(REQUESTS / 10);
  });

  it('are all received if they are large', async () => {
    const { client } = await connectPair(echoRouter());
    const router = new MethodRouter();
    const LARGE = defineMethod<Buffer, number>('test.large');
    router.handle(LARGE, ({ length }) => length);
    const pair = await connectPair(router);
    const lengths = [10, 100_000, 3, 70_000, 1_000_000];
    const calls = lengths.map((length) => pair.client.call(LARGE, Buffer.alloc(length), LIMITS));
    expect(await Promise.all(calls)).toEqual(lengths);
    client.close();
  });

  it('are sent before a connection ends', async () => {
    const router = new MethodRouter();
    const { client, server } = await connectPair(router);
    router.handle(ECHO, (number) => {
      server.drain();
      return number;
    });
    expect(await client.call(ECHO, 7, LIMITS)).toBe(7);
    await client.closed;
  });
});

describe('the limits of requests on one connection', () => {
  it('share a timer', async () => {
    const { client } = await connectPair(echoRouter());
    const timers = vi.spyOn(globalThis, 'setTimeout');
    const calls = Array.from({ length: REQUESTS }, (_, number) =>
      client.call(ECHO, number, LIMITS),
    );
    await Promise.all(calls);
    expect(timers.mock.calls.length).toBeLessThan(REQUESTS / 10);
  });

  it('are kept in any order', async () => {
    const { client } = await connectPair(echoRouter());
    const endedAt = new Map<number, number>();
    const startedAt = Date.now();
    const timeouts = [300, 100, 200, 50];
    const calls = timeouts.map(async (timeoutMs) => {
      const error = await client.call(SLOW, 1, { timeoutMs }).catch((reason: unknown) => reason);
      // The first limit makes the connection suspect, which closes it here at the earliest after 250 ms.
      expect(error).toBeInstanceOf(Error);
      if (timeoutMs < 250) expect(error).toBeInstanceOf(TimeoutError);
      endedAt.set(timeoutMs, Date.now() - startedAt);
    });
    await Promise.all(calls);
    for (const timeoutMs of [50, 100, 200]) {
      expect(endedAt.get(timeoutMs)).toBeGreaterThanOrEqual(timeoutMs - 1);
      expect(endedAt.get(timeoutMs)).toBeLessThan(timeoutMs + 90);
    }
  });
});
