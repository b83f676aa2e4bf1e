/** One connection through the proxy: two directions, each with its own delay and faults. */
import { type Socket, connect } from 'node:net';
import { parseAddress } from '../../src/wire/index.js';
import type { DirectionFault, LinkFault } from './fault-proxy-settings.js';

const MS_PER_SECOND = 1_000;
/** Bytes held back in one direction before the sender is made to wait. */
const MAX_HELD_BYTES = 4 * 1024 * 1024;
/** Chunks due within this time go out now; timers are no finer. */
const TIMER_SLACK_MS = 0.5;

export interface LinkConditions {
  fault: LinkFault;
  baseDelayMs: number;
}

export class ProxiedConnection {
  private readonly target: Socket;
  private readonly pipes: DelayedPipe[] = [];
  private carriedToTarget = 0;

  constructor(
    private readonly client: Socket,
    targetAddress: string,
    private readonly conditions: () => LinkConditions,
    private readonly onClosed: (connection: ProxiedConnection) => void,
  ) {
    const { host, port } = parseAddress(targetAddress);
    this.target = connect({ host, port, noDelay: true });
    client.setNoDelay(true);
    this.carry(client, this.target, () => this.conditions().fault.toTarget, true);
    this.carry(this.target, client, () => this.conditions().fault.toClient, false);
  }

  /** Whether bytes of the stream vanished, so that it cannot go on as a TCP stream. */
  get isBroken(): boolean {
    return this.pipes.some((pipe) => pipe.hasLostBytes);
  }

  /** Ends the connection on both sides by a reset. */
  reset(): void {
    this.client.resetAndDestroy();
    this.target.resetAndDestroy();
    this.onClosed(this);
  }

  private carry(
    from: Socket,
    to: Socket,
    fault: () => DirectionFault,
    isTowardsTarget: boolean,
  ): void {
    const pipe = new DelayedPipe(from, to, fault, () => this.conditions().baseDelayMs);
    this.pipes.push(pipe);
    from.on('data', (chunk: Buffer) => {
      if (isTowardsTarget && this.exceedsReset(chunk.length)) this.reset();
      else pipe.push(chunk);
    });
    from.on('end', () => pipe.end());
    from.on('error', () => this.reset());
    from.on('close', () => {
      pipe.end();
      this.onClosed(this);
    });
  }

  private exceedsReset(bytes: number): boolean {
    this.carriedToTarget += bytes;
    const { resetAfterBytes } = this.conditions().fault;
    return resetAfterBytes > 0 && this.carriedToTarget > resetAfterBytes;
  }
}

interface HeldChunk {
  dueMs: number;
  /** Undefined: the sender has ended. */
  chunk: Buffer | undefined;
}

/** Passes chunks on in their order, each not before its time. */
class DelayedPipe {
  private readonly held: HeldChunk[] = [];
  private heldBytes = 0;
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
    const dripMs = bytesPerSecond > 0 ? (chunk.length / bytesPerSecond) * MS_PER_SECOND : 0;
    const wanted = performance.now() + this.baseDelayMs() + delayMs + Math.random() * jitterMs;
    this.lastDueMs = Math.max(wanted, this.lastDueMs) + dripMs;
    this.heldBytes += chunk.length;
    if (this.heldBytes > MAX_HELD_BYTES) this.from.pause();
    this.held.push({ dueMs: this.lastDueMs, chunk });
    this.passOn();
  }

  end(): void {
    if (this.hasEnded) return;
    this.hasEnded = true;
    this.held.push({ dueMs: this.lastDueMs, chunk: undefined });
    this.passOn();
  }

  private passOn(): void {
    const limit = performance.now() + TIMER_SLACK_MS;
    while (this.held.length > 0 && this.held[0]!.dueMs <= limit) {
      this.release(this.held.shift()!.chunk);
    }
    if (this.held.length === 0 || this.timer) return;
    this.timer = setTimeout(() => {
      this.timer = undefined;
      this.passOn();
    }, this.held[0]!.dueMs - performance.now());
  }

  private release(chunk: Buffer | undefined): void {
    if (chunk) {
      this.heldBytes -= chunk.length;
      if (this.heldBytes <= MAX_HELD_BYTES) this.from.resume();
    }
    if (this.to.destroyed) return;
    if (chunk) this.to.write(chunk);
    else this.to.end();
  }
}
