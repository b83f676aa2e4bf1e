/**
 * Decides whether a backend fails for callers, from the merged counts of their gateways. The decision is made on a
 * binomial test; a single gateway never suffices.
 */
import { remainingAfter } from '../common/index.js';
import type { FailureCounts } from './failure-counts.js';
import { FAILURE_HALF_LIFE_MS } from './messages.js';

/** Decayed counts. */
export interface RecentCounts {
  calls: number;
  failures: number;
}

/** Ratio of failures that a backend may have without being avoided. */
export const TOLERATED_FAILURE_RATIO = 0.15;
/** Number of standard errors by which the ratio must exceed the tolerated one. */
const SIGNIFICANT_ERRORS = 1;
/** Minimum number of gateways with failures. */
const MIN_GATEWAYS = 2;
/** Failures below which a failure is considered forgotten. */
const FORGOTTEN_FAILURES = 0.4;
/** Increase of the merged failures that is a new failure, not an effect of rounding or of late reports. */
const NEW_FAILURE = 0.2;

export interface FailureDetectorOptions {
  /** Decayed number of recent failures below which the backend does not fail. */
  minimumFailures: number;
  /** Calls in a row without a failure after which a backend has recovered. */
  recoveredCalls: number;
}

interface Totals extends RecentCounts {
  /** Monotonic, in milliseconds. */
  at: number;
}

export class FailureDetector {
  isFailing = false;
  /** Counts since the last failure before them was forgotten. */
  recent: RecentCounts = { calls: 0, failures: 0 };
  /** Calls when the last failure was forgotten; calls before a failure began say nothing about it. */
  private baseline: Totals = { calls: 0, failures: 0, at: 0 };
  private last: Totals = { calls: 0, failures: 0, at: 0 };
  private successesInRow = 0;

  constructor(private readonly options: FailureDetectorOptions) {}

  /** Ends a failure; only later calls count from now on. */
  reset(): void {
    this.isFailing = false;
    this.baseline = this.last;
  }

  /**
   * Takes the current counts of the gateways of the callers.
   * @param now monotonic, in milliseconds
   */
  update(counts: FailureCounts, now: number): void {
    const totals = { calls: counts.calls, failures: counts.failures, at: now };
    this.noteSuccesses(totals);
    if (totals.failures < FORGOTTEN_FAILURES) this.baseline = totals;
    this.recent = this.sinceBaseline(totals);
    if (this.isFailing) this.isFailing = !this.hasRecovered(totals);
    else this.isFailing = this.hasBegunToFail(counts);
    if (this.isFailing) return;
    // After a recovery the counts still contain old failures: only new ones count.
    if (this.successesInRow >= this.options.recoveredCalls) this.baseline = totals;
  }

  private noteSuccesses(totals: Totals): void {
    const left = remainingAfter(totals.at - this.last.at, FAILURE_HALF_LIFE_MS);
    const newFailures = totals.failures - this.last.failures * left;
    const newCalls = totals.calls - this.last.calls * left;
    if (newFailures > NEW_FAILURE) this.successesInRow = 0;
    else this.successesInRow += Math.max(0, newCalls);
    this.last = totals;
  }

  private hasRecovered({ calls, failures }: Totals): boolean {
    return (
      this.successesInRow >= this.options.recoveredCalls ||
      failures < FORGOTTEN_FAILURES ||
      failures < calls * TOLERATED_FAILURE_RATIO
    );
  }

  private hasBegunToFail(counts: FailureCounts): boolean {
    const { recent } = this;
    if (recent.failures < this.options.minimumFailures || !isSignificant(recent)) return false;
    if (counts.failedGateways < MIN_GATEWAYS) return false;
    // The other gateways must see failures as well: one with a broken link may report many.
    const calls = Math.max(0, recent.calls - counts.worstCalls);
    return recent.failures - counts.worstFailures > calls * TOLERATED_FAILURE_RATIO;
  }

  private sinceBaseline({ calls, failures, at }: Totals): RecentCounts {
    const left = remainingAfter(at - this.baseline.at, FAILURE_HALF_LIFE_MS);
    const newFailures = Math.max(0, failures - this.baseline.failures * left);
    const newCalls = Math.max(newFailures, calls - this.baseline.calls * left);
    return { calls: newCalls, failures: newFailures };
  }
}

/** Whether the failure ratio is significantly over the tolerated one (score test of a binomial proportion). */
function isSignificant({ calls, failures }: RecentCounts): boolean {
  const expected = calls * TOLERATED_FAILURE_RATIO;
  const standardError = Math.sqrt(expected * (1 - TOLERATED_FAILURE_RATIO));
  return failures - expected > SIGNIFICANT_ERRORS * standardError;
}
