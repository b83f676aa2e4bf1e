/** Ratio of actual to expected latency of calls, as a logarithm. */

/** Bounds of the ratio of a single call and of a slowdown factor. */
const MINIMUM_RATIO = 0.25;
const MAXIMUM_RATIO = 8;

/** Logarithm of the bounded ratio of one call. */
export function logLatencyRatio(tookMs: number, expectedMs: number): number {
  return clampLogRatio(Math.log(tookMs / expectedMs));
}

/** Limits a logarithm, or a mean of logarithms, to the bounds of a single call. */
export function clampLogRatio(logRatio: number): number {
  return Math.min(Math.log(MAXIMUM_RATIO), Math.max(Math.log(MINIMUM_RATIO), logRatio));
}
