/** Computes percentiles with an HDR histogram. */
import { build } from 'hdr-histogram-js';

export interface Percentiles {
  count: number;
  p50: number;
  p95: number;
  p99: number;
  max: number;
}

const MAX_VALUE = 1_000_000_000;
const SIGNIFICANT_DIGITS = 3;
/** Values are scaled by this factor because the histogram stores integers. */
const UNITS_PER_VALUE = 1_000;

export function computePercentiles(values: Iterable<number>): Percentiles {
  const histogram = build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: MAX_VALUE,
    numberOfSignificantValueDigits: SIGNIFICANT_DIGITS,
    useWebAssembly: false,
  });
  for (const value of values) {
    histogram.recordValue(Math.min(MAX_VALUE, Math.max(0, Math.round(value * UNITS_PER_VALUE))));
  }
  const at = (percentile: number): number =>
    histogram.totalCount === 0 ? 0 : histogram.getValueAtPercentile(percentile) / UNITS_PER_VALUE;
  return {
    count: histogram.totalCount,
    p50: at(50),
    p95: at(95),
    p99: at(99),
    max: histogram.totalCount === 0 ? 0 : histogram.maxValue / UNITS_PER_VALUE,
  };
}
