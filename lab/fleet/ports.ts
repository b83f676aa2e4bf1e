/**
 * Allocates free ports for the processes of a fleet; each is checked by binding it. The ports are
 * below the ephemeral range, so that no outgoing connection takes the port of a process that restarts.
 * The first port of each block stays bound as a lock, so that two fleets do not share a block.
 */
import { type Server, createServer } from 'node:net';
import { LedgegaugeError } from '../../src/common/index.js';

/** No free port was found. */
export class PortError extends LedgegaugeError {}

const HOST = '127.0.0.1';
const FIRST_PORT = 10_240;
const BLOCK_SIZE = 256;
const BLOCK_COUNT = 84;

export class PortAllocator {
  private readonly blockLocks: Server[] = [];
  private nextPort = 0;
  private blockEnd = 0;

  /** @throws PortError if all blocks are in use */
  async allocate(count: number): Promise<number[]> {
    const ports: number[] = [];
    while (ports.length < count) {
      if (this.nextPort >= this.blockEnd) await this.reserveBlock();
      const port = this.nextPort++;
      const server = await tryBind(port);
      if (!server) continue;
      await close(server);
      ports.push(port);
    }
    return ports;
  }

  /** Releases all blocks. */
  async release(): Promise<void> {
    await Promise.all(this.blockLocks.splice(0).map(close));
    this.nextPort = this.blockEnd = 0;
  }

  private async reserveBlock(): Promise<void> {
    const offset = Math.floor(Math.random() * BLOCK_COUNT);
    for (let index = 0; index < BLOCK_COUNT; index += 1) {
      const first = FIRST_PORT + ((offset + index) % BLOCK_COUNT) * BLOCK_SIZE;
      const lock = await tryBind(first);
      if (!lock) continue;
      lock.unref();
      this.blockLocks.push(lock);
      this.nextPort = first + 1;
      this.blockEnd = first + BLOCK_SIZE;
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
