/** Exponential decay of counts and averages. */

/** Part of a value that is left after a time, both in milliseconds. */
export function remainingAfter(elapsedMs: number, halfLifeMs: number): number {
  return 0.5 ** (Math.max(0, elapsedMs) / halfLifeMs);
}
