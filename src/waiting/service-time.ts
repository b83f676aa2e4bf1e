/**
 * Mean time that a backend needs for a call of a service, without the time in the backend's queue. The latency of calls
 * alone would not do: it rises with the queues, and a limit that follows it would swing with them.
 */

/** Weight of the newest call in the moving average. */
const MEAN_WEIGHT = 0.05;

export class ServiceTime {
  private meanMs: number | undefined;

  /**
   * @param typicalMs estimate before the first call, in milliseconds
   * @returns mean time, in milliseconds
   */
  typicalMs(typicalMs: number): number {
    return this.meanMs ?? typicalMs;
  }

  /**
   * Records a call that has ended.
   * @param tookMs time since it was sent, in milliseconds
   * @param utilization calls in flight as a multiple of the capacity when it was sent
   */
  observe(tookMs: number, utilization: number): void {
    const ownMs = tookMs / Math.max(1, utilization);
    const { meanMs } = this;
    this.meanMs = meanMs === undefined ? ownMs : meanMs + (ownMs - meanMs) * MEAN_WEIGHT;
  }
}
