/** How a connection to a back end ends, as its reader sees it. */
import { type AddressInfo, type Socket, createServer } from 'node:net';
import { describe, expect, it, onTestFinished } from 'vitest';
import { ConnectionResetError, backendConnector } from './backend-socket.js';

const HOST = '127.0.0.1';
const REPEATS = 30;

interface Ending {
  received: string;
  hasEnded: boolean;
  error: Error | undefined;
}

/** Asks a peer that answers by `serve`, and reads until the connection is over. */
async function endingOf(serve: (socket: Socket) => void): Promise<Ending> {
  const server = createServer((socket) => {
    socket.on('error', () => undefined);
    socket.once('data', () => serve(socket));
  });
  onTestFinished(() => void server.close());
  await new Promise<void>((resolve) => server.listen(0, HOST, resolve));
  const { port } = server.address() as AddressInfo;
  const connect = backendConnector(1_000);
  return new Promise((resolve, reject) => {
    const ending: Ending = { received: '', hasEnded: false, error: undefined };
    connect({ hostname: HOST, port: String(port), protocol: 'http:' }, (error, socket) => {
      if (error) return reject(error);
      socket.on('data', (chunk: Buffer) => (ending.received += chunk.toString()));
      socket.on('end', () => (ending.hasEnded = true));
      socket.on('error', (failure: Error) => (ending.error = failure));
      socket.on('close', () => resolve(ending));
      socket.write('question');
    });
  });
}

describe('a connection to a back end', () => {
  it('that the peer closes ends, with all that was sent', async () => {
    for (let round = 0; round < REPEATS; round += 1) {
      const ending = await endingOf((socket) => socket.end('whole'));
      expect(ending).toEqual({ received: 'whole', hasEnded: true, error: undefined });
    }
  });

  it('that is reset together with its last bytes fails, and does not end', async () => {
    for (let round = 0; round < REPEATS; round += 1) {
      const { hasEnded, error } = await endingOf((socket) => {
        socket.write('part');
        socket.resetAndDestroy();
      });
      expect(error).toBeInstanceOf(ConnectionResetError);
      expect(hasEnded).toBe(false);
    }
  });

  it('that is reset later fails as well', async () => {
    const { hasEnded, error } = await endingOf((socket) => {
      socket.write('part');
      setTimeout(() => socket.resetAndDestroy(), 20);
    });
    expect(error).toBeInstanceOf(ConnectionResetError);
    expect(hasEnded).toBe(false);
  });
});
