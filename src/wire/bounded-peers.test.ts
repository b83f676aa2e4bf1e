/** What peers may make this process hold: before they are authenticated, and by reading nothing. */
import { type Socket, connect } from 'node:net';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { waitUntil } from '../../tests/support/wait-until.js';
import { FramedSocket } from './framed-socket.js';
import { MAX_FRAME_BYTES } from './frame-codec.js';
import { MethodRouter, defineMethod } from './method.js';
import { PeerLink } from './peer-link.js';
import { RpcServer } from './rpc-server.js';

const HOST = '127.0.0.1';
const SECRET = 'a-secret-of-the-test';
const MAX_HANDSHAKES = 3;
const ECHO = defineMethod<{ text: string }, { text: string }>('test.echo');
const HANDSHAKE_BYTES = 4 * 1024;
const CHUNK_BYTES = 1024 * 1024;

let server: RpcServer;
const sockets: Socket[] = [];

beforeEach(async () => {
  const router = new MethodRouter();
  router.handle(ECHO, ({ text }) => ({ text }));
  const maxHandshakes = MAX_HANDSHAKES;
  server = await RpcServer.start({ host: HOST, port: 0, secret: SECRET, router, maxHandshakes });
});

afterEach(() => {
  for (const socket of sockets.splice(0)) socket.destroy();
  server.close();
});

function open(): Socket {
  const socket = connect(server.port, HOST);
  socket.on('error', () => undefined);
  socket.resume();
  sockets.push(socket);
  return socket;
}

async function expectServed(): Promise<void> {
  const address = `${HOST}:${server.port}`;
  const link = new PeerLink({ address, ownName: 'peer', secret: SECRET });
  expect(await link.waitConnected(5_000)).toBe(true);
  const text = 'x'.repeat(10 * HANDSHAKE_BYTES);
  expect(await link.call(ECHO, { text }, { timeoutMs: 5_000 })).toEqual({ text });
  link.close();
}

describe('peers that are not authenticated', () => {
  // Without the bound, a frame that ends just short of 64 MiB was received from each.
  it('may not send more than a handshake', async () => {
    const socket = open();
    const head = Buffer.alloc(4);
    head.writeUInt32BE(MAX_FRAME_BYTES, 0);
    socket.write(head);
    let takenBytes = 0;
    while (!socket.destroyed && takenBytes + CHUNK_BYTES < MAX_FRAME_BYTES) {
      await new Promise((resolve) => socket.write(Buffer.alloc(CHUNK_BYTES), resolve));
      takenBytes += CHUNK_BYTES;
    }
    await waitUntil('closed', () => socket.destroyed, 5_000);
    // The kernel buffers a few MiB.
    expect(takenBytes).toBeLessThan(MAX_FRAME_BYTES / 4);
    expect(server.failedHandshakes).toBe(1);
    await expectServed();
  });

  it('give way to further ones, the oldest first', async () => {
    const closed: number[] = [];
    for (let index = 0; index < MAX_HANDSHAKES + 2; index += 1) {
      const socket = open();
      socket.once('close', () => closed.push(index));
      await new Promise((resolve) => socket.once('data', resolve));
    }
    expect(server.unauthenticatedConnections).toBe(MAX_HANDSHAKES);
    await waitUntil('closed', () => closed.length >= 2, 5_000);
    expect(closed.slice(0, 2)).toEqual([0, 1]);
    await expectServed();
  });
});

describe('a peer that reads nothing', () => {
  it('is closed once more than the maximum size of a frame is unsent', async () => {
    const socket = open();
    socket.pause();
    await new Promise((resolve) => socket.once('connect', resolve));
    const framed = new FramedSocket(socket, 'test');
    const value = Buffer.alloc(MAX_FRAME_BYTES / 4);
    for (let sent = 0; sent < 8; sent += 1) framed.send(value);
    expect(framed.isOpen).toBe(false);
    await framed.closed;
  });
});
