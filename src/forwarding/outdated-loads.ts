/**
 * Other gateways' calls at the backends of one service while no report of them arrives. A gateway that is cut off from
 * the directory knows only its own calls: the last report loses its weight, and in its place the other gateways are
 * taken to have as many calls as this one. That never raises a figure, since a cut may bring this gateway the callers
 * of others.
 */
import { movingAverage } from '../common/index.js';

/** Interval of `age`, in milliseconds. */
export const AGING_INTERVAL_MS = 100;
/** Time without a report after which the last one begins to age, in milliseconds: longer than an election of the directory. */
const CURRENT_MS = 1_500;
/** Time over which the last report loses its weight, in milliseconds. */
const AGING_MS = 1_000;
/** Weight of the present number of own calls in their mean, which has to span several calls. */
const OWN_CALLS_WEIGHT = 0.1;

/** The last report on a backend. */
export interface ReportedBackend {
  /** Calls in flight from other gateways, as last reported. */
  readonly reportedCalls: number;
  /** Typical calls that it can process at once. */
  readonly capacity: number;
}

export class OutdatedLoads {
  private reportedAt = Number.NEGATIVE_INFINITY;
  private meanOwnCalls: number | undefined;

  /** @param now monotonic, in milliseconds */
  noteReport(now: number): void {
    this.reportedAt = now;
    this.meanOwnCalls = undefined;
  }

  /** Whether the last report has begun to lose its weight. @param now monotonic, in milliseconds */
  isOutdated(now: number): boolean {
    return Number.isFinite(this.reportedAt) && now - this.reportedAt >= CURRENT_MS;
  }

  /**
   * Must be called every `AGING_INTERVAL_MS`.
   * @param ownCalls calls in flight of this gateway at all backends
   * @param gateways number of gateways, including this one
   * @param now monotonic, in milliseconds
   * @returns other gateways' calls by backend; undefined while the last report is current
   */
  age(
    backends: readonly ReportedBackend[],
    ownCalls: number,
    gateways: number,
    now: number,
  ): number[] | undefined {
    if (!this.isOutdated(now)) return undefined;
    const outdatedMs = now - this.reportedAt - CURRENT_MS;
    this.meanOwnCalls = movingAverage(this.meanOwnCalls, ownCalls, OWN_CALLS_WEIGHT);
    const progress = Math.min(1, outdatedMs / AGING_MS);
    const otherCalls = this.meanOwnCalls * (gateways - 1);
    const capacity = backends.reduce((sum, backend) => sum + backend.capacity, 0);
    return backends.map((backend) => {
      const share = (otherCalls * backend.capacity) / capacity;
      return backend.reportedCalls - Math.max(0, backend.reportedCalls - share) * progress;
    });
  }
}
