/** Estimates the rate at which permits become available to the waiting calls of a service. */

/** Half-life of observations, in milliseconds: a few rounds of load figures. */
const HALF_LIFE_MS = 1_000;
/** Weight of the expected rate, as the length of an equivalent observation, in milliseconds. */
const PRIOR_MS = 250;

export class PermitRate {
  private waitedMs = 0;
  private permits = 0;

  /** Records the permits that became available in a time during which calls waited. */
  observe(elapsedMs: number, permits: number): void {
    const retained = 0.5 ** (elapsedMs / HALF_LIFE_MS);
    this.waitedMs = this.waitedMs * retained + elapsedMs;
    this.permits = this.permits * retained + permits;
  }

  /**
   * Permits per millisecond.
   * @param expected rate that is assumed before the first observations
   */
  perMs(expected: number): number {
    return (this.permits + expected * PRIOR_MS) / (this.waitedMs + PRIOR_MS);
  }
}
