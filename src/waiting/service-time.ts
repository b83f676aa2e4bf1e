/**
 * Mean time that a backend needs for a call of a service, without the time in the backend's queue. The latency of calls
 * alone would not do: it rises with the queues, and a limit that follows it would swing with them.
 */
import { movingAverage } from '../common/index.js';

/** Minimum of the mean time, in milliseconds; the ceilings of the backends are divided by it. */
const MIN_MEAN_MS = 1;
/** Weight of the newest call in the moving average. */
const MEAN_WEIGHT = 0.05;

export class ServiceTime {
  private meanMs: number | undefined;

  /**
   * @param typicalMs estimate before the first call, in milliseconds
   * @returns mean time, in milliseconds
   */
  typicalMs(typicalMs: number): number {
    return Math.max(MIN_MEAN_MS, this.meanMs ?? typicalMs);
  }

  /**
   * Records a call that was answered by its only attempt. Other calls may end far sooner or later.
   * @param tookMs time since it was sent, in milliseconds
   * @param utilization calls in flight as a multiple of the capacity when it was sent
   */
  observe(tookMs: number, utilization: number): void {
    const ownMs = tookMs / Math.max(1, utilization);
    this.meanMs = movingAverage(this.meanMs, ownMs, MEAN_WEIGHT);
  }
}
