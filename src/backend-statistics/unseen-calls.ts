/**
 * Calls that other gateways have sent since the load figures were reported. All gateways see the same figures and
 * would fill the queue of the cheapest engine; an allowance for unseen calls, drawn anew for each engine and call,
 * spreads them as far as the age of the figures requires.
 */
import type { Random } from './candidates.js';

/** Occupancy of one engine. */
export interface Occupancy {
  /** Calls in flight from other gateways, as last reported. */
  readonly otherInFlight: number;
  /** Typical calls that it can process at once. */
  readonly capacity: number;
}

/** Mean age of load figures, in milliseconds: the way there and a long poll. */
const FIGURES_AGE_MS = 150;

/**
 * Mean number of calls that were sent to the cheapest engine since the figures were reported. By Little's law the
 * others' calls in process and their duration tell the rate of their calls; the cheapest one gets those for which it
 * is among the candidates.
 */
export function meanUnseenCalls(
  engines: readonly Occupancy[],
  candidateCount: number,
  typicalMs: number,
): number {
  if (engines.length === 0) return 0;
  const inProcess = engines.reduce(
    (sum, { otherInFlight, capacity }) => sum + Math.min(otherInFlight, capacity),
    0,
  );
  return ((inProcess * FIGURES_AGE_MS) / typicalMs) * (candidateCount / engines.length);
}

/** Draws a number of unseen calls, evenly distributed around their mean. */
export function drawUnseenCalls(mean: number, random: Random): number {
  return mean === 0 ? 0 : 2 * mean * random();
}
