import { describe, expect, it } from 'vitest';
import { computePercentiles } from '../load/percentiles.js';
import type { BenchRunResult } from './bench-run.js';
import { createBenchReport } from './bench-report.js';
import { BENCH_POLICIES } from './policies.js';

const NO_SAMPLES = computePercentiles([]);

function createRun(policy: string, seed: number, p95: number, recomputed: number): BenchRunResult {
  const latency = { ...NO_SAMPLES, p50: p95 / 2, p95, p99: p95 };
  return {
    policy,
    seed,
    load: 0.9,
    goodput: 10,
    returns: 0.5,
    waste: { recomputed, heldUnused: 0.5, heldAfterEnd: 0 },
    summary: {
      programs: 10,
      programsCompleted: 10,
      calls: 10,
      callsWrong: 0,
      callsLost: 0,
      callsNotRun: 0,
      callsUnknown: 0,
      repeatedNonRepeatable: 0,
      programLatencyMs: latency,
      programLatencyMsByClass: { lint: latency },
      firstTokenMs: NO_SAMPLES,
      serviceCallMs: { ...NO_SAMPLES, p99: 10 },
      wastedCacheShare: recomputed,
      cachedShare: 0.5,
    },
  };
}

describe('bench report', () => {
  it('compares our policy with the best baseline of each seed', () => {
    const [ours, ...baselines] = BENCH_POLICIES.map(({ name }) => name);
    const runs = [1, 2].flatMap((seed) => [
      createRun(ours!, seed, 600, 0.1),
      ...baselines.map((name, index) =>
        createRun(name, seed, 1_000 + index * 100, 0.2 + index * 0.1),
      ),
    ]);
    const [ratios] = createBenchReport('pipeline', { capacity: 20, runs }).ratios;
    expect(ratios!.programP95.mean).toBeCloseTo(0.6);
    expect(ratios!.recomputed.mean).toBeCloseTo(0.5);
    expect(ratios!.goodput).toEqual({ mean: 1, lowest: 1, highest: 1 });
  });
});
