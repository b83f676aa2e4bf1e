/**
 * Runs every policy on the same seeds and loads, interleaved, on one fleet whose gateways and engines
 * are started anew for each run, so that none finds the caches of another.
 */
import type { Fleet, FleetOptions } from '../fleet/fleet.js';
import type { Deployment } from '../fleet/topology.js';
import { readBackendRecords } from '../load/backend-records.js';
import { type LoadOptions, runLoad } from '../load/load-run.js';
import { type LoadSummary, summarizeLoad } from '../load/summary.js';
import type { WorkloadRecorder } from '../workload/recorder.js';
import { type CacheWaste, measureCacheWaste, measureEngineAffinity } from './cache-waste.js';
import {
  BENCH_POLICIES,
  type BenchPolicy,
  type BenchWeights,
  gatewaySettingsOf,
} from './policies.js';

export interface BenchOptions {
  /** A fleet with `benchFleet`'s options. */
  fleet: Fleet;
  seeds: number[];
  /** Loads as shares of what the fleet can carry. */
  loads: number[];
  durationMs: number;
  report: (step: string) => void;
}

export interface BenchRunResult {
  policy: string;
  seed: number;
  load: number;
  summary: LoadSummary;
  waste: CacheWaste;
  /** Share of calls that went to the engine of the call before. */
  returns: number;
  /** Programs completed a second while others still arrive. */
  goodput: number;
}

export interface BenchResult {
  /** Programs a second that the fleet completes when it is never idle. */
  capacity: number;
  runs: BenchRunResult[];
}

const TIME_SCALE = 0.2;
const SIZE_SCALE = 1;
const JOURNAL_GROUPS = 4;
const CAPACITY_CONCURRENCY = 96;
const PATIENCE_MS = 20_000;
const MS_PER_SECOND = 1_000;
/**
 * Engines small enough for one machine's callers to fill: few sequences at a time, costly prompts, and
 * memory so scarce that what is kept matters. Assumed, like the emulator's other constants.
 */
const BENCH_ENGINE = { maxBatch: 6, stepMsPerPrefillToken: 0.25, cacheTokens: 40_000 };
const WEIGHTS: Readonly<Record<Deployment['name'], BenchWeights>> = {
  pipeline: { latencyWeight: 0.7, prefixWeight: 4 },
  consortium: { latencyWeight: 0.6, prefixWeight: 8 },
};

/** Options of a fleet to run the bench on. */
export function benchFleet(deployment: Deployment, seed: number): Omit<FleetOptions, 'workFolder'> {
  return {
    deployment,
    timeScale: TIME_SCALE,
    journalGroups: JOURNAL_GROUPS,
    seed,
    engineSettings: { model: BENCH_ENGINE },
  };
}

export class BenchRun {
  constructor(private readonly options: BenchOptions) {}

  async run(): Promise<BenchResult> {
    const { seeds, loads, report } = this.options;
    const capacity = await this.measureCapacity(seeds[0]!);
    report(`capacity ${capacity.toFixed(1)} programs a second`);
    const runs: BenchRunResult[] = [];
    for (const seed of seeds) {
      for (const load of loads) {
        for (const policy of BENCH_POLICIES) {
          const result = await this.runOne(policy, seed, load, load * capacity);
          runs.push(result);
          report(describe(result));
        }
      }
    }
    return { capacity, runs };
  }

  private async measureCapacity(seed: number): Promise<number> {
    await this.prepare(BENCH_POLICIES[0]!);
    const startedAtMs = Date.now();
    const recorder = await this.drive(seed, { concurrency: CAPACITY_CONCURRENCY });
    return this.completedPerSecond(recorder, startedAtMs);
  }

  /** Programs arrive for the time of a run: at a rate, or so many at once. */
  private drive(
    seed: number,
    arrivals: Pick<LoadOptions, 'concurrency' | 'ratePerSecond'>,
  ): Promise<WorkloadRecorder> {
    return runLoad(this.options.fleet, {
      seed,
      timeScale: TIME_SCALE,
      sizeScale: SIZE_SCALE,
      programs: Number.POSITIVE_INFINITY,
      durationMs: this.options.durationMs,
      patienceMs: PATIENCE_MS,
      ...arrivals,
    });
  }

  /** Over the second half of the time in which programs arrive: neither the start nor the tail. */
  private completedPerSecond(recorder: WorkloadRecorder, startedAtMs: number): number {
    const { durationMs } = this.options;
    const from = startedAtMs + durationMs / 2;
    const until = startedAtMs + durationMs;
    const completed = recorder.programs.filter(
      ({ isRoot, isComplete, lastAnswerAtMs }) =>
        isRoot && isComplete && lastAnswerAtMs >= from && lastAnswerAtMs < until,
    );
    return completed.length / (durationMs / 2 / MS_PER_SECOND);
  }

  private async runOne(
    policy: BenchPolicy,
    seed: number,
    load: number,
    ratePerSecond: number,
  ): Promise<BenchRunResult> {
    await this.prepare(policy);
    const startedAtMs = Date.now();
    const recorder = await this.drive(seed, { concurrency: 0, ratePerSecond });
    const records = await readBackendRecords(this.options.fleet);
    const summary = summarizeLoad(recorder, records);
    return {
      policy: policy.name,
      seed,
      load,
      summary,
      waste: measureCacheWaste(recorder, records, TIME_SCALE),
      returns: measureEngineAffinity(records),
      goodput: this.completedPerSecond(recorder, startedAtMs),
    };
  }

  /** Starts gateways with a policy's settings, and engines with empty caches. */
  private async prepare(policy: BenchPolicy): Promise<void> {
    const { fleet } = this.options;
    const settings = gatewaySettingsOf(policy, WEIGHTS[fleet.plan.deployment.name]);
    const restarted = [...fleet.ofKind('gateway'), ...fleet.ofKind('engine')];
    await Promise.all(
      restarted.map(async (process) => {
        await process.stop(PATIENCE_MS);
        if (process.plan.kind === 'gateway') Object.assign(process.plan.settings, settings);
        await process.start();
      }),
    );
    await fleet.waitUntilGatewaysReady();
  }
}

function describe({
  policy,
  seed,
  load,
  summary,
  waste,
  returns,
  goodput,
}: BenchRunResult): string {
  const { programLatencyMs, programs, programsCompleted, serviceCallMs } = summary;
  return (
    `seed ${seed} load ${load} ${policy}: ${programsCompleted}/${programs}, ` +
    `p50 ${Math.round(programLatencyMs.p50)} p95 ${Math.round(programLatencyMs.p95)} ms, ` +
    `recomputed ${(waste.recomputed * 100).toFixed(1)} %, returns ${(returns * 100).toFixed(0)} %, ` +
    `service p99 ${Math.round(serviceCallMs.p99)} ms, ${goodput.toFixed(1)} programs/s`
  );
}
