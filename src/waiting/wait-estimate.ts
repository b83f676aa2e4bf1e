/** Estimates how long the calls of a service wait, at one point in time. */
import type { PermitRates } from './permit-rates.js';
import { MAX_PASSED_OVER } from './service-queue.js';

/** Numbers of waiting calls that will be taken before a call. */
export interface CallsAhead {
  ahead: number;
  /** Those of the same priority. */
  aheadOfSamePriority: number;
}

export interface WaitEstimateOptions {
  rates: PermitRates;
  /** Permits per millisecond that are assumed before the first observations. */
  expectedPerMs: number;
  /** The most urgent priority with waiting calls. */
  mostUrgent: number;
}

/** Maximum retry delay, in milliseconds, so that calls are admitted soon after an overload. */
const MAX_RETRY_MS = 1_000;

export class WaitEstimate {
  constructor(private readonly options: WaitEstimateOptions) {}

  /**
   * Expected wait in milliseconds, by the calls ahead that wait now, and by the permits that calls of the same priority
   * got lately: more urgent calls that are yet to arrive will be ahead as well.
   */
  waitMs(priority: number, { ahead, aheadOfSamePriority }: CallsAhead): number {
    const { rates, expectedPerMs, mostUrgent } = this.options;
    const leastFraction = priority <= mostUrgent ? 1 : 1 / (1 + MAX_PASSED_OVER);
    return Math.max(
      ahead / rates.perMs(expectedPerMs),
      aheadOfSamePriority / rates.perMsOf(priority, expectedPerMs * leastFraction),
    );
  }

  /** Time until a permit is expected for one more call behind these, in milliseconds. */
  retryAfterMs(priority: number, { ahead, aheadOfSamePriority }: CallsAhead): number {
    const behind = { ahead: ahead + 1, aheadOfSamePriority: aheadOfSamePriority + 1 };
    return Math.min(MAX_RETRY_MS, this.waitMs(priority, behind));
  }
}
