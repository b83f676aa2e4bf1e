/**
 * Links with a bounded number of bytes a second, as machines have: everything that a machine sends
 * leaves through one link, and everything it receives comes through another. Each connection has no
 * more than a window of bytes under way, so that connections share a full link fairly.
 */
import { monotonicMs, sleep } from '../../src/common/index.js';

export interface MeteredLinksOptions {
  /** Of each machine's link, one way. */
  bytesPerSecond: number;
  /** Of the links of some machines. @default as for all */
  slower?: ReadonlyMap<string, number>;
  /** Time from one machine to another, in milliseconds. */
  latencyMs: number;
}

/** Bytes of one connection that may be under way at a time. */
const WINDOW_BYTES = 64 * 1024;

export class MeteredLinks {
  private readonly freeAt = new Map<string, number>();
  /** The latest message of each connection and direction; the next begins behind it. */
  private readonly latest = new Map<string, Promise<void>>();

  private readonly sentBytes = new Map<string, number>();

  constructor(private readonly options: MeteredLinksOptions) {}

  /** Bytes that a machine has sent so far, or that are on its link now. */
  sentBy(machine: string): number {
    return this.sentBytes.get(machine) ?? 0;
  }

  /**
   * Resolves when a message has arrived.
   * @param connection names the connection; messages of one direction keep their order
   */
  carry(from: string, to: string, connection: string, bytes: number): Promise<void> {
    const key = `${connection} ${from}>${to}`;
    const earlier = this.latest.get(key) ?? Promise.resolve();
    const carried = earlier.then(() => this.carryNow(from, to, bytes));
    this.latest.set(key, carried);
    return carried;
  }

  private async carryNow(from: string, to: string, bytes: number): Promise<void> {
    for (let left = bytes; left > 0; left -= WINDOW_BYTES) {
      const size = Math.min(left, WINDOW_BYTES);
      this.sentBytes.set(from, this.sentBy(from) + size);
      const leftAt = this.passLink('out', from, monotonicMs(), size);
      const arrivesAt = this.passLink('in', to, leftAt + this.options.latencyMs, size);
      await sleep(Math.max(0, arrivesAt - monotonicMs()));
    }
  }

  /** @returns when the last byte has passed a machine's link that it reaches at `reachedAt` */
  private passLink(way: 'in' | 'out', machine: string, reachedAt: number, bytes: number): number {
    const { slower, bytesPerSecond } = this.options;
    const rate = slower?.get(machine) ?? bytesPerSecond;
    const link = `${way} ${machine}`;
    const startsAt = Math.max(reachedAt, this.freeAt.get(link) ?? 0);
    const passedAt = startsAt + (bytes / rate) * 1_000;
    this.freeAt.set(link, passedAt);
    return passedAt;
  }
}
