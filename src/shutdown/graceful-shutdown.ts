/** Time frame of a planned stop: when it began, until when responses must be complete, and which calls still fit. */
import { monotonicMs } from '../common/index.js';

export interface ShutdownTiming {
  /** Time from the request to stop until the process is killed, in milliseconds. */
  graceMs: number;
  /** Time from the request to stop until callers have noticed that the process is not ready, in milliseconds. */
  noticeMs: number;
  /** Time before the kill in which the last responses are sent and connections are closed, in milliseconds. */
  closingMs: number;
}

/** Fraction of the closing time in which the last responses are sent. */
const FLUSH_FRACTION = 0.5;

export class GracefulShutdown {
  private startedAt: number | undefined;
  private timing: ShutdownTiming = { graceMs: Infinity, noticeMs: 0, closingMs: 0 };

  /** Repeated calls have no effect. */
  begin(timing: ShutdownTiming): void {
    if (this.startedAt !== undefined) return;
    this.timing = timing;
    this.startedAt = monotonicMs();
  }

  get hasBegun(): boolean {
    return this.startedAt !== undefined;
  }

  /** Time since the request to stop, in milliseconds; undefined before it. */
  get elapsedMs(): number | undefined {
    return this.startedAt === undefined ? undefined : monotonicMs() - this.startedAt;
  }

  /** Whether callers have had the time to notice that the process is not ready. */
  get hasNoticeEnded(): boolean {
    return (this.elapsedMs ?? 0) >= this.timing.noticeMs;
  }

  /** When calls in progress are ended (monotonic, milliseconds); infinite before the request to stop. */
  get callsDueAt(): number {
    if (this.startedAt === undefined) return Infinity;
    return this.startedAt + this.timing.graceMs - this.timing.closingMs;
  }

  /** When all responses must be sent (monotonic, milliseconds); what is left until the kill is for the process to end. */
  get responsesDueAt(): number {
    return this.callsDueAt + this.timing.closingMs * FLUSH_FRACTION;
  }

  /** @param endsAt latest time at which a call ends (monotonic, milliseconds); one in the past counts as now */
  allows(endsAt: number): boolean {
    return Math.max(endsAt, monotonicMs()) <= this.callsDueAt;
  }
}
