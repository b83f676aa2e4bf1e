/** Adds up bench runs: each policy at each load, and ours against the best baseline. */
import type { BenchResult, BenchRunResult } from './bench-run.js';
import { BENCH_POLICIES } from './policies.js';

export interface PolicyFigures {
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
  /** Ours divided by the best baseline of the same seed; below 1 is better, except for goodput. */
  programP95: Spread;
  recomputed: Spread;
  goodput: Spread;
  serviceP99: Spread;
}

export interface Spread {
  mean: number;
  lowest: number;
  highest: number;
}

export interface BenchReport {
  deployment: string;
  seeds: number[];
  /** Programs a second at full load. */
  capacity: number;
  policies: PolicyFigures[];
  ratios: LoadRatios[];
}

export function reportBench(deployment: string, result: BenchResult): BenchReport {
  const loads = [...new Set(result.runs.map((run) => run.load))];
  return {
    deployment,
    seeds: [...new Set(result.runs.map((run) => run.seed))],
    capacity: result.capacity,
    policies: loads.flatMap((load) =>
      BENCH_POLICIES.map(({ name }) => {
        const runs = result.runs.filter((run) => run.load === load && run.policy === name);
        return figuresOf(name, load, runs);
      }),
    ),
    ratios: loads.map((load) =>
      ratiosOf(
        load,
        result.runs.filter((run) => run.load === load),
      ),
    ),
  };
}

function figuresOf(policy: string, load: number, runs: readonly BenchRunResult[]): PolicyFigures {
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

function ratiosOf(load: number, runs: readonly BenchRunResult[]): LoadRatios {
  const [ours, ...baselines] = BENCH_POLICIES.map(({ name }) => name);
  const seeds = [...new Set(runs.map((run) => run.seed))];
  const ratio = (
    read: (run: BenchRunResult) => number,
    best: (...values: number[]) => number,
  ): Spread => {
    const ratios = seeds.map((seed) => {
      const of = (policy: string): number =>
        read(runs.find((run) => run.seed === seed && run.policy === policy)!);
      return of(ours!) / best(...baselines.map(of));
    });
    return { mean: mean(ratios), lowest: Math.min(...ratios), highest: Math.max(...ratios) };
  };
  return {
    load,
    programP95: ratio((run) => run.summary.programLatencyMs.p95, Math.min),
    recomputed: ratio((run) => run.waste.recomputed, Math.min),
    goodput: ratio((run) => run.goodput, Math.max),
    serviceP99: ratio((run) => run.summary.serviceCallMs.p99, Math.min),
  };
}

function mean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / Math.max(1, values.length);
}
