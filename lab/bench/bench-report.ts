/** Summarizes bench runs per policy and load, and compares our policy with the best baseline. */
import type { BenchResult, BenchRunResult } from './bench-run.js';
import { BENCH_POLICIES } from './policies.js';

export interface PolicyStats {
  policy: string;
  load: number;
  /** Means over seeds. */
  programLatencyMs: { p50: number; p95: number; p99: number };
  latencyByClassP95: Record<string, number>;
  wastedCacheShare: { recomputed: number; heldUnused: number; heldAfterEnd: number };
  goodput: number;
  serviceCallP99Ms: number;
  completedShare: number;
}

export interface LoadRatios {
  load: number;
  /** Our policy relative to the best baseline of the same seed; below 1 is better, except for goodput. */
  programP95: RatioStats;
  recomputed: RatioStats;
  goodput: RatioStats;
  serviceP99: RatioStats;
}

export interface RatioStats {
  mean: number;
  lowest: number;
  highest: number;
}

export interface BenchReport {
  deployment: string;
  seeds: number[];
  /** Programs per second at full load. */
  capacity: number;
  policies: PolicyStats[];
  ratios: LoadRatios[];
}

export function createBenchReport(deployment: string, result: BenchResult): BenchReport {
  const loads = [...new Set(result.runs.map((run) => run.load))];
  return {
    deployment,
    seeds: [...new Set(result.runs.map((run) => run.seed))],
    capacity: result.capacity,
    policies: loads.flatMap((load) =>
      BENCH_POLICIES.map(({ name }) => {
        const runs = result.runs.filter((run) => run.load === load && run.policy === name);
        return computePolicyStats(name, load, runs);
      }),
    ),
    ratios: loads.map((load) =>
      computeLoadRatios(
        load,
        result.runs.filter((run) => run.load === load),
      ),
    ),
  };
}

function computePolicyStats(
  policy: string,
  load: number,
  runs: readonly BenchRunResult[],
): PolicyStats {
  const average = (read: (run: BenchRunResult) => number): number => mean(runs.map(read));
  const classes = new Set(runs.flatMap((run) => Object.keys(run.summary.programLatencyMsByClass)));
  return {
    policy,
    load,
    programLatencyMs: {
      p50: average((run) => run.summary.programLatencyMs.p50),
      p95: average((run) => run.summary.programLatencyMs.p95),
      p99: average((run) => run.summary.programLatencyMs.p99),
    },
    latencyByClassP95: Object.fromEntries(
      [...classes].map((name) => [
        name,
        average((run) => run.summary.programLatencyMsByClass[name]?.p95 ?? 0),
      ]),
    ),
    wastedCacheShare: {
      recomputed: average((run) => run.waste.recomputed),
      heldUnused: average((run) => run.waste.heldUnused),
      heldAfterEnd: average((run) => run.waste.heldAfterEnd),
    },
    goodput: average((run) => run.goodput),
    serviceCallP99Ms: average((run) => run.summary.serviceCallMs.p99),
    completedShare: average((run) => run.summary.programsCompleted / run.summary.programs),
  };
}

function computeLoadRatios(load: number, runs: readonly BenchRunResult[]): LoadRatios {
  const [ourPolicy, ...baselines] = BENCH_POLICIES.map(({ name }) => name);
  const seeds = [...new Set(runs.map((run) => run.seed))];
  const ratioStats = (
    read: (run: BenchRunResult) => number,
    selectBest: (...values: number[]) => number,
  ): RatioStats => {
    const ratios = seeds.map((seed) => {
      const valueOf = (policy: string): number =>
        read(runs.find((run) => run.seed === seed && run.policy === policy)!);
      return valueOf(ourPolicy!) / selectBest(...baselines.map(valueOf));
    });
    return { mean: mean(ratios), lowest: Math.min(...ratios), highest: Math.max(...ratios) };
  };
  return {
    load,
    programP95: ratioStats((run) => run.summary.programLatencyMs.p95, Math.min),
    recomputed: ratioStats((run) => run.waste.recomputed, Math.min),
    goodput: ratioStats((run) => run.goodput, Math.max),
    serviceP99: ratioStats((run) => run.summary.serviceCallMs.p99, Math.min),
  };
}

function mean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / Math.max(1, values.length);
}
