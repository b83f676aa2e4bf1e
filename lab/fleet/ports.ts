/**
 * Ports for the processes of a fleet, free by the word of the system, which is asked to bind each.
 * They lie below the range from which the system takes ports for outgoing connections: a process
 * that is ended and started again must find its port as it left it. Ports are taken from blocks; the
 * tool keeps a block's first port bound while it lives, so that two fleets never share a block.
 */
import { type Server, createServer } from 'node:net';
import { LedgegaugeError } from '../../src/common/index.js';

/** No free ports were found. */
export class PortError extends LedgegaugeError {}

const HOST = '127.0.0.1';
const FIRST_PORT = 10_240;
const BLOCK_SIZE = 256;
const BLOCK_COUNT = 84;

export class PortAllocator {
  private readonly locks: Server[] = [];
  private next = 0;
  private end = 0;

  /** @throws PortError when every block is taken */
  async allocate(count: number): Promise<number[]> {
    const ports: number[] = [];
    while (ports.length < count) {
      if (this.next >= this.end) await this.reserveBlock();
      const port = this.next++;
      const server = await tryBind(port);
      if (!server) continue;
      await close(server);
      ports.push(port);
    }
    return ports;
  }

  /** Gives the blocks back. */
  async release(): Promise<void> {
    await Promise.all(this.locks.splice(0).map(close));
    this.next = this.end = 0;
  }

  private async reserveBlock(): Promise<void> {
    const offset = Math.floor(Math.random() * BLOCK_COUNT);
    for (let index = 0; index < BLOCK_COUNT; index += 1) {
      const first = FIRST_PORT + ((offset + index) % BLOCK_COUNT) * BLOCK_SIZE;
      const lock = await tryBind(first);
      if (!lock) continue;
      lock.unref();
      this.locks.push(lock);
      this.next = first + 1;
      this.end = first + BLOCK_SIZE;
      return;
    }
    throw new PortError('no free block of ports', { step: 'fleet.ports' });
  }
}

function tryBind(port: number): Promise<Server | undefined> {
  return new Promise((resolve) => {
    const server = createServer();
    server.once('error', () => resolve(undefined));
    server.listen(port, HOST, () => resolve(server));
  });
}

function close(server: Server): Promise<void> {
  return new Promise((resolve) => server.close(() => resolve()));
}
