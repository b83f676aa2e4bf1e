/**
 * Simulated links with limited bandwidth. Each machine has one link for outgoing and one for incoming data.
 * A window limits the bytes in flight of each connection, so that connections share a saturated link fairly.
 */
import { monotonicMs, sleep } from '../../src/common/index.js';

export interface MeteredLinksOptions {
  /** Bandwidth of each machine's link, in one direction. */
  bytesPerSecond: number;
  /** Bandwidth of particular machines. @default `bytesPerSecond` */
  slower?: ReadonlyMap<string, number>;
  /** One-way latency between machines, in milliseconds. */
  latencyMs: number;
}

/** Maximum bytes in flight of one connection. */
const WINDOW_BYTES = 64 * 1024;

export class MeteredLinks {
  private readonly freeAt = new Map<string, number>();
  /** Latest message of each connection and direction; the next one is sent after it. */
  private readonly latest = new Map<string, Promise<void>>();

  private readonly sentBytes = new Map<string, number>();

  constructor(private readonly options: MeteredLinksOptions) {}

  /** Bytes that a machine has sent or is sending. */
  sentBy(machine: string): number {
    return this.sentBytes.get(machine) ?? 0;
  }

  /**
   * Resolves when a message has arrived.
   * @param connection name of the connection; it preserves the order of messages in each direction
   */
  carry(from: string, to: string, connection: string, bytes: number): Promise<void> {
    const key = `${connection} ${from}>${to}`;
    const earlier = this.latest.get(key) ?? Promise.resolve();
    const carried = earlier.then(() => this.transmit(from, to, bytes));
    this.latest.set(key, carried);
    return carried;
  }

  private async transmit(from: string, to: string, bytes: number): Promise<void> {
    for (let left = bytes; left > 0; left -= WINDOW_BYTES) {
      const size = Math.min(left, WINDOW_BYTES);
      this.sentBytes.set(from, this.sentBy(from) + size);
      const leftAt = this.occupyLink('out', from, monotonicMs(), size);
      const arrivesAt = this.occupyLink('in', to, leftAt + this.options.latencyMs, size);
      await sleep(Math.max(0, arrivesAt - monotonicMs()));
    }
  }

  /** @returns the time at which the last byte has passed the link, if the first arrives at `reachedAt` */
  private occupyLink(way: 'in' | 'out', machine: string, reachedAt: number, bytes: number): number {
    const { slower, bytesPerSecond } = this.options;
    const rate = slower?.get(machine) ?? bytesPerSecond;
    const link = `${way} ${machine}`;
    const startsAt = Math.max(reachedAt, this.freeAt.get(link) ?? 0);
    const passedAt = startsAt + (bytes / rate) * 1_000;
    this.freeAt.set(link, passedAt);
    return passedAt;
  }
}
