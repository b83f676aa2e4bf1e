/** Estimates the rates at which permits become available to the waiting calls of a service, by priority. */
import { remainingAfter } from '../common/index.js';

/** Half-life of observations, in milliseconds: a few rounds of load figures. */
const HALF_LIFE_MS = 1_000;
/** Weight of the expected rate, as the length of an equivalent observation, in milliseconds. */
const PRIOR_MS = 250;

/** Rate of permits while calls wait. */
class PermitRate {
  private waitedMs = 0;
  private permits = 0;

  observe(elapsedMs: number, permits: number): void {
    const retained = remainingAfter(elapsedMs, HALF_LIFE_MS);
    this.waitedMs = this.waitedMs * retained + elapsedMs;
    this.permits = this.permits * retained + permits;
  }

  /** @param expected rate that is assumed before the first observations */
  perMs(expected: number): number {
    return (this.permits + expected * PRIOR_MS) / (this.waitedMs + PRIOR_MS);
  }
}

/** The rates of one service. */
export class PermitRates {
  private readonly all = new PermitRate();
  private readonly byPriority = new Map<number, PermitRate>();
  private observedAt = Number.NEGATIVE_INFINITY;

  /** Must be called when calls begin to wait. */
  start(now: number): void {
    this.observedAt = now;
  }

  /**
   * Records the permits that became available since the last call.
   * @param waiting priorities of the calls that waited
   * @param granted priorities of the calls that got a permit
   */
  observe(now: number, waiting: readonly number[], granted: readonly number[]): void {
    const elapsedMs = now - this.observedAt;
    this.observedAt = now;
    this.all.observe(elapsedMs, granted.length);
    for (const priority of waiting) {
      const permits = granted.filter((other) => other === priority).length;
      this.rateOf(priority).observe(elapsedMs, permits);
    }
  }

  /** Permits per millisecond for calls of any priority. */
  perMs(expected: number): number {
    return this.all.perMs(expected);
  }

  /** Permits per millisecond for calls of one priority; calls of more urgent ones that are yet to arrive get theirs before. */
  perMsOf(priority: number, expected: number): number {
    return this.rateOf(priority).perMs(expected);
  }

  private rateOf(priority: number): PermitRate {
    const known = this.byPriority.get(priority);
    if (known) return known;
    const rate = new PermitRate();
    this.byPriority.set(priority, rate);
    return rate;
  }
}
