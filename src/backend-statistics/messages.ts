/** Statistics of backends as gateways report them and as the directory's leader returns them. */
import { decodeValue, encodeValue } from '../wire/index.js';

/** Half-life of the latency ratios, in milliseconds. */
export const SLOWDOWN_HALF_LIFE_MS = 2_000;
/** Half-life of the counts of calls and failures, in milliseconds. */
export const FAILURE_HALF_LIFE_MS = 1_000;

/** Decayed totals of one gateway's calls to one backend. */
export interface BackendTally {
  id: string;
  /** Number of calls with a known latency ratio. */
  weight: number;
  /** Sum of the logarithms of actual to expected latency. */
  logRatios: number;
  /** Number of calls that ended with an answer or a failure. */
  calls: number;
  failures: number;
}

/** Tallies as parallel lists of integers in units of `REPORT_UNIT`, which keeps a report small. */
export interface StatisticsReport {
  ids: string[];
  weights: number[];
  logRatios: number[];
  calls: number[];
  failures: number[];
}

/** A backend that differs from normal. */
export interface BackendCondition {
  id: string;
  /** Latency relative to the median of the service's backends; absent if normal. */
  slowdown?: number;
  /** Zones whose callers' calls fail, or `ALL_ZONES`; absent if none. */
  failingZones?: string[];
}

/** Stands for the callers of every zone. */
export const ALL_ZONES = '*';

const REPORT_UNIT = 0.01;

export function encodeReport(tallies: readonly BackendTally[]): StatisticsReport {
  const listOf = (read: (tally: BackendTally) => number): number[] =>
    tallies.map((tally) => Math.round(read(tally) / REPORT_UNIT));
  return {
    ids: tallies.map(({ id }) => id),
    weights: listOf(({ weight }) => weight),
    logRatios: listOf(({ logRatios }) => logRatios),
    calls: listOf(({ calls }) => calls),
    failures: listOf(({ failures }) => failures),
  };
}

/** Omits entries that no gateway can have counted. */
export function decodeReport(report: StatisticsReport): BackendTally[] {
  const { ids, weights, logRatios, calls, failures } = report;
  return ids
    .map((id, position) => ({
      id,
      weight: weights[position]! * REPORT_UNIT,
      logRatios: logRatios[position]! * REPORT_UNIT,
      calls: calls[position]! * REPORT_UNIT,
      failures: failures[position]! * REPORT_UNIT,
    }))
    .filter(isPlausible);
}

function isPlausible({ weight, logRatios, calls, failures }: BackendTally): boolean {
  const values = [weight, logRatios, calls, failures];
  return values.every(Number.isFinite) && weight >= 0 && failures >= 0 && calls >= failures;
}

/** Packed once by the leader for all gateways. */
export function packConditions(conditions: readonly BackendCondition[]): Uint8Array {
  return encodeValue(conditions);
}

export function unpackConditions(packed: Uint8Array): BackendCondition[] {
  return decodeValue<BackendCondition[]>(packed);
}
