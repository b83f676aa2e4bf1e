/**
 * How much longer than others one back end takes for the same work: 1 is ordinary, 2 twice as long.
 * Times of single calls vary widely; only a difference that is significant counts. Without calls it
 * goes back to ordinary, so that a back end that recovered is tried again.
 */
import { monotonicMs } from '../common/index.js';

/** Share of the newest call, in the logarithm. */
const NEWEST_SHARE = 0.2;
/** Without calls half of the difference is forgotten in this time, in milliseconds. */
const HALF_LIFE_MS = 4_000;
/** One call counts within these bounds. */
const FASTEST = 0.25;
const SLOWEST = 8;
/** Variance of the logarithm of single calls before any was seen. */
const PRIOR_VARIANCE = 0.5;
/** A difference counts beyond so many standard errors. */
const SIGNIFICANT_ERRORS = 1.5;

export class SlowdownEstimator {
  /** Mean of the logarithms of observed over expected times. */
  private mean = 0;
  private variance = PRIOR_VARIANCE;
  private notedAt = 0;

  /** @param clock monotonic, in milliseconds */
  constructor(private readonly clock: () => number = monotonicMs) {}

  get factor(): number {
    const mean = this.mean * this.remembered();
    const standardError = Math.sqrt((this.variance * NEWEST_SHARE) / (2 - NEWEST_SHARE));
    const significant = Math.max(0, Math.abs(mean) - SIGNIFICANT_ERRORS * standardError);
    return Math.exp(Math.sign(mean) * significant);
  }

  /** Takes a call into account that should have taken `expectedMs` at an ordinary back end. */
  note(tookMs: number, expectedMs: number): void {
    const ratio = Math.min(SLOWEST, Math.max(FASTEST, tookMs / expectedMs));
    const before = this.mean * this.remembered();
    const difference = Math.log(ratio) - before;
    this.mean = before + difference * NEWEST_SHARE;
    this.variance += (difference ** 2 - this.variance) * NEWEST_SHARE;
    this.notedAt = this.clock();
  }

  private remembered(): number {
    return 0.5 ** ((this.clock() - this.notedAt) / HALF_LIFE_MS);
  }
}
