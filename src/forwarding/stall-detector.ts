/**
 * Notices that this process stood still: frozen, or kept from the processor. Calls that waited in
 * its sockets are then read all at once, before it is seen which of their callers have left.
 */
import { monotonicMs, sleep } from '../common/index.js';
import type { Logger } from '../observability/index.js';

export interface StallDetectorOptions {
  logger: Logger;
  /** A pause of the process that is shorter is nothing special, in milliseconds. @default 1000 */
  stallMs?: number;
}

const DEFAULT_STALL_MS = 1_000;
/** For so long after a stall calls may be old ones, in milliseconds. */
const AFTERMATH_MS = 250;
/** Time to see which callers have left, in milliseconds. */
const SETTLE_MS = 30;

export class StallDetector {
  private readonly stallMs: number;
  private readonly timer: NodeJS.Timeout;
  private beatAt = monotonicMs();
  private stalledUntil = Number.NEGATIVE_INFINITY;

  constructor(private readonly options: StallDetectorOptions) {
    this.stallMs = options.stallMs ?? DEFAULT_STALL_MS;
    this.timer = setInterval(() => this.beat(), this.stallMs / 2);
    this.timer.unref();
  }

  /** Resolves at once, or after a moment where the process has just stood still. */
  async waitAfterStall(): Promise<void> {
    this.beat();
    if (monotonicMs() - this.stalledUntil < AFTERMATH_MS) await sleep(SETTLE_MS);
  }

  stop(): void {
    clearInterval(this.timer);
  }

  private beat(): void {
    const now = monotonicMs();
    const pauseMs = now - this.beatAt;
    this.beatAt = now;
    if (pauseMs <= this.stallMs) return;
    this.stalledUntil = now;
    this.options.logger.warn('process.stalled', { ms: Math.round(pauseMs) });
  }
}
