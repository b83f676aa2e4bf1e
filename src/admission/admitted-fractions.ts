/** Admitted fractions of the priorities of a service as a function of its pressure. */

/**
 * Pressure up to which the most urgent priority is admitted entirely. It is above 1 because programs tolerate a short
 * wait for a slot; the range ends near the slowdown at which they are late.
 */
const MOST_URGENT_START = 1.15;
/** The same for the least urgent priority, relative to the most urgent one. */
const LEAST_URGENT_OFFSET = -0.1;
/** Width of the range of pressure over which a fraction falls from 1 to 0. */
const RANGE_WIDTH = 0.2;
/** Minimum fraction of a priority, as a fraction of that of the most urgent one, so that none is starved. */
const MIN_RELATIVE_FRACTION = 0.3;

/**
 * Pressure up to which a priority is admitted entirely.
 * @param rank position among the service's priorities; 0 is the most urgent
 */
export function rangeStart(rank: number, priorities: number): number {
  const position = priorities > 1 ? rank / (priorities - 1) : 0;
  return MOST_URGENT_START + position * LEAST_URGENT_OFFSET;
}

/** Fractions of all priorities, the most urgent first; none is larger than the one before it. */
export function admittedFractions(pressure: number, priorities: number): number[] {
  const fractions: number[] = [];
  for (let rank = 0; rank < priorities; rank += 1) {
    const excess = (pressure - rangeStart(rank, priorities)) / RANGE_WIDTH;
    const alone = Math.min(1, Math.max(0, 1 - excess));
    const mostUrgent = fractions[0] ?? 1;
    const moreUrgent = fractions[rank - 1] ?? 1;
    const minimum = rank === 0 ? 0 : mostUrgent * MIN_RELATIVE_FRACTION;
    fractions.push(Math.min(moreUrgent, Math.max(alone, minimum)));
  }
  return fractions;
}
