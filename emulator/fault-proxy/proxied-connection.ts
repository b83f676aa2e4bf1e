/** One proxied connection: two directions, each with its own delay and faults. */
import { type Socket, connect } from 'node:net';
import { isPeerLost } from '../../src/http/index.js';
import { parseAddress } from '../../src/wire/index.js';
import type { DirectionFault, LinkFault } from './fault-proxy-settings.js';

const MS_PER_SECOND = 1_000;
/** Bytes queued in one direction before the sender is paused. */
const MAX_QUEUED_BYTES = 4 * 1024 * 1024;
/** Chunks due within this time are written immediately, because timers are not more precise. */
const TIMER_TOLERANCE_MS = 0.5;

export interface LinkConditions {
  fault: LinkFault;
  baseDelayMs: number;
}

export class ProxiedConnection {
  private readonly target: Socket;
  private readonly pipes: DelayedPipe[] = [];
  private bytesToTarget = 0;

  constructor(
    private readonly client: Socket,
    targetAddress: string,
    private readonly conditions: () => LinkConditions,
    private readonly onClosed: (connection: ProxiedConnection) => void,
  ) {
    const { host, port } = parseAddress(targetAddress);
    this.target = connect({ host, port, noDelay: true });
    client.setNoDelay(true);
    this.pipe(client, this.target, () => this.conditions().fault.toTarget, true);
    this.pipe(this.target, client, () => this.conditions().fault.toClient, false);
  }

  /** Whether bytes were dropped, so that the TCP stream can't continue. */
  get hasLostBytes(): boolean {
    return this.pipes.some((pipe) => pipe.hasLostBytes);
  }

  /** Resets the connection on both sides. */
  reset(): void {
    this.client.resetAndDestroy();
    this.target.resetAndDestroy();
    this.onClosed(this);
  }

  private pipe(
    from: Socket,
    to: Socket,
    fault: () => DirectionFault,
    isTowardsTarget: boolean,
  ): void {
    const pipe = new DelayedPipe(from, to, fault, () => this.conditions().baseDelayMs);
    this.pipes.push(pipe);
    from.on('data', (chunk: Buffer) => {
      if (isTowardsTarget && this.exceedsResetThreshold(chunk.length)) this.reset();
      else pipe.push(chunk);
    });
    from.on('end', () => {
      if (isPeerLost(from)) this.reset();
      else pipe.end();
    });
    from.on('error', () => this.reset());
    from.on('close', () => {
      pipe.end();
      // The other side must notice nothing before the connection is reset.
      if (!pipe.hasLostBytes) this.onClosed(this);
    });
  }

  private exceedsResetThreshold(bytes: number): boolean {
    this.bytesToTarget += bytes;
    const { resetAfterBytes } = this.conditions().fault;
    return resetAfterBytes > 0 && this.bytesToTarget > resetAfterBytes;
  }
}

interface QueuedChunk {
  dueMs: number;
  /** Undefined for the end of the stream. */
  chunk: Buffer | undefined;
}

/** Forwards chunks in order, each no earlier than its due time. */
class DelayedPipe {
  private readonly queue: QueuedChunk[] = [];
  private queuedBytes = 0;
  private lastDueMs = 0;
  private hasEnded = false;
  private timer: NodeJS.Timeout | undefined;
  hasLostBytes = false;

  constructor(
    private readonly from: Socket,
    private readonly to: Socket,
    private readonly fault: () => DirectionFault,
    private readonly baseDelayMs: () => number,
  ) {}

  push(chunk: Buffer): void {
    const { drop, delayMs, jitterMs, bytesPerSecond } = this.fault();
    this.hasLostBytes ||= drop;
    if (this.hasLostBytes) return;
    const transmissionMs = bytesPerSecond > 0 ? (chunk.length / bytesPerSecond) * MS_PER_SECOND : 0;
    const earliestMs = performance.now() + this.baseDelayMs() + delayMs + Math.random() * jitterMs;
    this.lastDueMs = Math.max(earliestMs, this.lastDueMs) + transmissionMs;
    this.queuedBytes += chunk.length;
    if (this.queuedBytes > MAX_QUEUED_BYTES) this.from.pause();
    this.queue.push({ dueMs: this.lastDueMs, chunk });
    this.flush();
  }

  /** Forwards the end of the stream, unless bytes before it were dropped: TCP delivers nothing behind a gap. */
  end(): void {
    if (this.hasEnded || this.hasLostBytes) return;
    this.hasEnded = true;
    this.queue.push({ dueMs: this.lastDueMs, chunk: undefined });
    this.flush();
  }

  private flush(): void {
    const limit = performance.now() + TIMER_TOLERANCE_MS;
    while (this.queue.length > 0 && this.queue[0]!.dueMs <= limit) {
      this.write(this.queue.shift()!.chunk);
    }
    if (this.queue.length === 0 || this.timer) return;
    this.timer = setTimeout(() => {
      this.timer = undefined;
      this.flush();
    }, this.queue[0]!.dueMs - performance.now());
  }

  private write(chunk: Buffer | undefined): void {
    if (chunk) {
      this.queuedBytes -= chunk.length;
      if (this.queuedBytes <= MAX_QUEUED_BYTES) this.from.resume();
    }
    if (this.to.destroyed) return;
    if (chunk) this.to.write(chunk);
    else this.to.end();
  }
}
