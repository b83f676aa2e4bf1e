/**
 * Detects that the process was stalled (frozen or without CPU time). Calls that queued up in its sockets
 * are then read at once, before it is known which of their callers have disconnected.
 */
import { monotonicMs, sleep } from '../common/index.js';
import type { Logger } from '../observability/index.js';

export interface StallDetectorOptions {
  logger: Logger;
  /** Minimum pause that counts as a stall, in milliseconds. @default 1000 */
  stallMs?: number;
}

const DEFAULT_STALL_MS = 1_000;
/** Time after a stall in which calls may be outdated, in milliseconds. */
const RECOVERY_MS = 250;
/** Time to detect disconnected callers, in milliseconds. */
const DISCONNECT_DETECTION_MS = 30;

export class StallDetector {
  private readonly stallMs: number;
  private readonly timer: NodeJS.Timeout;
  private tickAt = monotonicMs();
  private stallEndedAt = Number.NEGATIVE_INFINITY;

  constructor(private readonly options: StallDetectorOptions) {
    this.stallMs = options.stallMs ?? DEFAULT_STALL_MS;
    this.timer = setInterval(() => this.tick(), this.stallMs / 2);
    this.timer.unref();
  }

  /** Resolves immediately, or after a short delay if the process was just stalled. */
  async waitAfterStall(): Promise<void> {
    this.tick();
    if (monotonicMs() - this.stallEndedAt < RECOVERY_MS) await sleep(DISCONNECT_DETECTION_MS);
  }

  stop(): void {
    clearInterval(this.timer);
  }

  private tick(): void {
    const now = monotonicMs();
    const pauseMs = now - this.tickAt;
    this.tickAt = now;
    if (pauseMs <= this.stallMs) return;
    this.stallEndedAt = now;
    this.options.logger.warn('process.stalled', { ms: Math.round(pauseMs) });
  }
}
