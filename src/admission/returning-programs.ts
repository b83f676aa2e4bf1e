/**
 * Estimates how many refused programs return and are admitted when a fraction rises. The hash of a program decides, so
 * all that were refused between two fractions are admitted when they return after the rise. Without this estimate, each
 * rise would admit far more programs than expected.
 */
import type { ByPriority } from './session-forecast.js';

/**
 * Delay after which a refused program may come back while the pressure does not fall, in milliseconds. The longer it is,
 * the more refused programs return when a fraction rises, and the less time is left to end them in time.
 */
export const RETRY_MS = 250;
/** Retries of a refused program by its caller. */
const RETRIES = 2;

/** The admitted fractions from a time on. */
interface PastFractions {
  at: number;
  fractions: ByPriority;
}

export class ReturningPrograms {
  private past: PastFractions[] = [];

  /** Records the fractions in effect from a time on. */
  note(fractions: ByPriority, at: number): void {
    this.past.push({ at, fractions });
    const first = this.past.findLastIndex((entry) => entry.at <= at - RETRIES * RETRY_MS);
    if (first > 0) this.past.splice(0, first);
  }

  /** Returning programs that a fraction admits, relative to the offered ones. */
  admitted(priority: number, fraction: number, at: number): number {
    let highest = 0;
    let total = 0;
    for (let retry = 1; retry <= RETRIES; retry += 1) {
      highest = Math.max(highest, this.fractionAt(priority, at - retry * RETRY_MS));
      total += Math.max(0, fraction - highest);
    }
    return total;
  }

  private fractionAt(priority: number, at: number): number {
    const entry = this.past.findLast((candidate) => candidate.at <= at);
    return entry?.fractions.get(priority) ?? 1;
  }
}
