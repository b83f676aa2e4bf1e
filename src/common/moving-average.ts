/**
 * Exponential moving average; the first value is taken as it is.
 * @param weight of the newest value, between 0 and 1
 */
export function movingAverage(before: number | undefined, value: number, weight: number): number {
  return before === undefined ? value : before + (value - before) * weight;
}
