/**
 * Merges the latency ratios that gateways report into one slowdown factor for each backend of a service. The factors
 * are relative to the median of the service's backends, so that a change that concerns all of them, or the scale of
 * the gateways' latency models, is not taken for a slowdown.
 */
import { clampLogRatio } from '../performance/index.js';

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
/**
 * Maximum difference of a gateway's mean from the median of the gateways, as a logarithm: a factor of two. It bounds
 * the influence of a gateway that reports falsely.
 */
const MAX_DEVIATION = Math.LN2;

/**
 * @param backendCount number of the service's backends, including those without samples
 * @returns logarithms of the slowdown factors by backend id, for the backends of one service
 */
export function mergeSlowdowns(
  samples: ReadonlyMap<string, readonly RatioSample[]>,
  backendCount: number,
): Map<string, number> {
  const means = new Map<string, RatioSample>();
  for (const [id, ofGateways] of samples) {
    const merged = robustMean(ofGateways);
    if (merged.weight > 0) means.set(id, merged);
  }
  const reference = referenceOf([...means.values()], backendCount);
  const slowdowns = new Map<string, number>();
  for (const [id, sample] of means) {
    slowdowns.set(id, clampLogRatio((sample.mean - reference) * certaintyOf(sample)));
  }
  return slowdowns;
}

function certaintyOf({ weight }: RatioSample): number {
  return weight / (weight + PRIOR_WEIGHT);
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

/**
 * Median of the backends' means. A backend with few samples counts as one of normal speed: gateways send few calls to
 * slow backends, and a median of the others alone would jump to the fast ones.
 */
function referenceOf(samples: readonly RatioSample[], backendCount: number): number {
  const means = samples.map((sample) => sample.mean * certaintyOf(sample));
  while (means.length < backendCount) means.push(0);
  if (means.length === 0) return 0;
  means.sort((left, right) => left - right);
  const middle = means.length / 2;
  return (means[Math.ceil(middle) - 1]! + means[Math.floor(middle)]!) / 2;
}
