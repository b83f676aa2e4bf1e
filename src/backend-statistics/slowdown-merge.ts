/**
 * Merges the latency ratios that gateways report into one slowdown factor for each backend of a service. The factors
 * are relative to the median of the service's backends, so that a change that concerns all of them, or the scale of
 * the gateways' latency models, is not taken for a slowdown.
 */
import { MAXIMUM_RATIO, MINIMUM_RATIO } from './messages.js';

/** Latency ratios that one gateway observed at a backend. */
export interface RatioSample {
  /** Decayed number of calls. */
  weight: number;
  /** Mean of the logarithms of actual to expected latency. */
  mean: number;
}

/** Maximum weight of a gateway, in calls. */
export const MAX_GATEWAY_WEIGHT = 3;
/** Weight of the assumption that a backend has the median speed, in calls. */
const PRIOR_WEIGHT = 2;
/** Minimum weight of a backend that counts for the median, in calls. */
const MIN_REFERENCE_WEIGHT = 1;
/**
 * Maximum difference of a gateway's mean from the median of the gateways, as a logarithm: a factor of two. It bounds
 * the influence of a gateway that reports falsely.
 */
const MAX_DEVIATION = Math.LN2;

/** @returns logarithms of the slowdown factors by backend id, for the backends of one service */
export function mergeSlowdowns(
  samples: ReadonlyMap<string, readonly RatioSample[]>,
): Map<string, number> {
  const means = new Map<string, RatioSample>();
  for (const [id, ofGateways] of samples) {
    const merged = robustMean(ofGateways);
    if (merged.weight > 0) means.set(id, merged);
  }
  const reference = medianOf(means.values());
  const slowdowns = new Map<string, number>();
  for (const [id, { mean, weight }] of means) {
    const certainty = weight / (weight + PRIOR_WEIGHT);
    slowdowns.set(id, clampLog((mean - reference) * certainty));
  }
  return slowdowns;
}

/** Mean of the gateways' means, each limited in weight and in its distance from the weighted median. */
function robustMean(samples: readonly RatioSample[]): RatioSample {
  const capped = samples.map(({ weight, mean }) => ({
    weight: Math.min(weight, MAX_GATEWAY_WEIGHT),
    mean,
  }));
  const center = weightedMedian(capped);
  let weight = 0;
  let sum = 0;
  for (const sample of capped) {
    const deviation = Math.min(MAX_DEVIATION, Math.max(-MAX_DEVIATION, sample.mean - center));
    weight += sample.weight;
    sum += sample.weight * (center + deviation);
  }
  return { weight, mean: weight === 0 ? 0 : sum / weight };
}

function weightedMedian(samples: readonly RatioSample[]): number {
  const sorted = [...samples].sort((left, right) => left.mean - right.mean);
  let remaining = sorted.reduce((sum, { weight }) => sum + weight, 0) / 2;
  for (const { weight, mean } of sorted) {
    remaining -= weight;
    if (remaining <= 0) return mean;
  }
  return 0;
}

function medianOf(samples: Iterable<RatioSample>): number {
  const known = [...samples].filter(({ weight }) => weight >= MIN_REFERENCE_WEIGHT);
  if (known.length === 0) return 0;
  const means = known.map(({ mean }) => mean).sort((left, right) => left - right);
  const middle = means.length / 2;
  const [low, high] = [means[Math.ceil(middle) - 1]!, means[Math.floor(middle)]!];
  return (low + high) / 2;
}

function clampLog(log: number): number {
  return Math.min(Math.log(MAXIMUM_RATIO), Math.max(Math.log(MINIMUM_RATIO), log));
}
