/**
 * Estimates how long an outage of the ledger's leader will last: as long as previous outages and, once it has
 * lasted longer, as long again as it has lasted. Determines how long a call waits for a leader, and the delay
 * after which callers should retry.
 */
import { monotonicMs } from '../common/index.js';

/** Silence from which an outage is assumed, in milliseconds: the timeout of one attempt. */
const OUTAGE_THRESHOLD_MS = 250;
/** Initial estimate of the duration of an outage, in milliseconds: two election timeouts. */
const INITIAL_OUTAGE_MS = 600;
/** Time without requests after which a failure is disregarded, in milliseconds. */
const FAILURE_VALIDITY_MS = 500;
/** Weight of the latest outage in the moving average of durations. */
const SMOOTHING_FACTOR = 0.3;

export class OutageEstimator {
  private unansweredSince: number | undefined;
  private outstanding = 0;
  private failedAt = Number.NEGATIVE_INFINITY;
  private typicalMs = INITIAL_OUTAGE_MS;

  /** Records that a request is sent. */
  recordRequest(): void {
    if (!this.isSilenceValid) this.unansweredSince = undefined;
    this.unansweredSince ??= monotonicMs();
    this.outstanding += 1;
  }

  /** Records that a request failed. */
  recordFailure(): void {
    this.outstanding -= 1;
    this.failedAt = monotonicMs();
  }

  /** Records a response of a leader. */
  recordResponse(): void {
    const durationMs = this.silenceMs;
    this.outstanding -= 1;
    this.unansweredSince = undefined;
    if (durationMs > OUTAGE_THRESHOLD_MS)
      this.typicalMs += (durationMs - this.typicalMs) * SMOOTHING_FACTOR;
  }

  /** Expected time until a leader responds, in milliseconds; 0 if no outage is assumed. */
  get remainingMs(): number {
    const { silenceMs } = this;
    return silenceMs < OUTAGE_THRESHOLD_MS ? 0 : Math.max(this.typicalMs - silenceMs, silenceMs);
  }

  /**
   * How long to wait for a response that is of use for `usefulMs`: all that time, or 0 if the outage has
   * already lasted longer.
   */
  waitMs(usefulMs: number): number {
    const { silenceMs } = this;
    if (silenceMs < OUTAGE_THRESHOLD_MS) return Math.max(usefulMs, OUTAGE_THRESHOLD_MS);
    return usefulMs > silenceMs ? usefulMs : 0;
  }

  /** How long a response has been overdue, in milliseconds; 0 if there are no requests. */
  get silenceMs(): number {
    if (this.unansweredSince === undefined || !this.isSilenceValid) return 0;
    return monotonicMs() - this.unansweredSince;
  }

  /** Whether a request is outstanding or failed recently. */
  private get isSilenceValid(): boolean {
    return this.outstanding > 0 || monotonicMs() - this.failedAt < FAILURE_VALIDITY_MS;
  }
}
