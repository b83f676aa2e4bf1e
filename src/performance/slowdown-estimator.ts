/**
 * Estimates the slowdown of one backend relative to the others: 1 is normal, 2 takes twice as long for
 * the same work. Since single latencies vary widely, only statistically significant differences count.
 * Without calls the estimate decays to 1, so that a recovered backend is used again.
 */
import { monotonicMs, remainingAfter } from '../common/index.js';
import { logLatencyRatio } from './latency-ratio.js';

/** Weight of the newest call in the moving averages. */
const SAMPLE_WEIGHT = 0.2;
/** Half-life of the estimate without calls, in milliseconds. */
const HALF_LIFE_MS = 4_000;
/** Initial variance of the logarithm of the ratio. */
const PRIOR_VARIANCE = 0.5;
/** Number of standard errors beyond which a difference is significant. */
const SIGNIFICANT_ERRORS = 1.5;

export class SlowdownEstimator {
  /** Moving average of the logarithm of the ratio of actual to expected latency. */
  private mean = 0;
  private variance = PRIOR_VARIANCE;
  private notedAt = 0;

  /** @param clock monotonic clock, in milliseconds */
  constructor(private readonly clock: () => number = monotonicMs) {}

  get factor(): number {
    const mean = this.mean * this.decayFactor();
    const standardError = Math.sqrt((this.variance * SAMPLE_WEIGHT) / (2 - SAMPLE_WEIGHT));
    const significant = Math.max(0, Math.abs(mean) - SIGNIFICANT_ERRORS * standardError);
    return Math.exp(Math.sign(mean) * significant);
  }

  /** @param expectedMs predicted latency on a backend of normal speed */
  note(tookMs: number, expectedMs: number): void {
    const before = this.mean * this.decayFactor();
    const difference = logLatencyRatio(tookMs, expectedMs) - before;
    this.mean = before + difference * SAMPLE_WEIGHT;
    this.variance += (difference ** 2 - this.variance) * SAMPLE_WEIGHT;
    this.notedAt = this.clock();
  }

  private decayFactor(): number {
    return remainingAfter(this.clock() - this.notedAt, HALF_LIFE_MS);
  }
}
