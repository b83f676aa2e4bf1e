/** A reset connection must not look like the orderly end of a response. */
import { type AddressInfo, type Socket, createServer } from 'node:net';
import { describe, expect, it, onTestFinished } from 'vitest';
import { ConnectionResetError, backendConnector } from './backend-socket.js';

const HOST = '127.0.0.1';
const REPEATS = 30;

interface ConnectionEnd {
  received: string;
  hasEnded: boolean;
  error: Error | undefined;
}

/** Connects to a server that responds with `serve`, and reads until the connection is closed. */
async function readUntilClosed(serve: (socket: Socket) => void): Promise<ConnectionEnd> {
  const server = createServer((socket) => {
    socket.on('error', () => undefined);
    socket.once('data', () => serve(socket));
  });
  onTestFinished(() => void server.close());
  await new Promise<void>((resolve) => server.listen(0, HOST, resolve));
  const { port } = server.address() as AddressInfo;
  const connect = backendConnector(1_000);
  return new Promise((resolve, reject) => {
    const result: ConnectionEnd = { received: '', hasEnded: false, error: undefined };
    connect({ hostname: HOST, port: String(port), protocol: 'http:' }, (error, socket) => {
      if (error) return reject(error);
      socket.on('data', (chunk: Buffer) => (result.received += chunk.toString()));
      socket.on('end', () => (result.hasEnded = true));
      socket.on('error', (cause: Error) => (result.error = cause));
      socket.on('close', () => resolve(result));
      socket.write('question');
    });
  });
}

describe('BackendSocket', () => {
  it('delivers all data and ends when the peer closes the connection', async () => {
    for (let round = 0; round < REPEATS; round += 1) {
      const result = await readUntilClosed((socket) => socket.end('whole'));
      expect(result).toEqual({ received: 'whole', hasEnded: true, error: undefined });
    }
  });

  it('fails without ending when a reset arrives with the last bytes', async () => {
    for (let round = 0; round < REPEATS; round += 1) {
      const { hasEnded, error } = await readUntilClosed((socket) => {
        socket.write('part');
        socket.resetAndDestroy();
      });
      expect(error).toBeInstanceOf(ConnectionResetError);
      expect(hasEnded).toBe(false);
    }
  });

  it('fails without ending when a reset arrives later', async () => {
    const { hasEnded, error } = await readUntilClosed((socket) => {
      socket.write('part');
      setTimeout(() => socket.resetAndDestroy(), 20);
    });
    expect(error).toBeInstanceOf(ConnectionResetError);
    expect(hasEnded).toBe(false);
  });
});
