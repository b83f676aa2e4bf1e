/**
 * Runs every policy with the same seeds and loads on one fleet, interleaved. Gateways and engines are
 * restarted before each run, so that no run reuses the caches of another.
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
  createGatewaySettings,
} from './policies.js';

export interface BenchOptions {
  /** Fleet that was started with `benchFleetOptions`. */
  fleet: Fleet;
  seeds: number[];
  /** Loads as fractions of the capacity of the fleet. */
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
  /** Fraction of calls that went to the same engine as the previous call of the program. */
  returns: number;
  /** Programs completed per second while new programs arrive. */
  goodput: number;
}

export interface BenchResult {
  /** Programs per second that the saturated fleet completes. */
  capacity: number;
  runs: BenchRunResult[];
}

const TIME_SCALE = 0.2;
const SIZE_SCALE = 1;
const JOURNAL_GROUPS = 4;
const CAPACITY_CONCURRENCY = 96;
const TIMEOUT_MS = 20_000;
const MS_PER_SECOND = 1_000;
/**
 * Small engines that the callers of one machine can saturate: small batches, expensive prefill, and so
 * little cache memory that retention decisions matter.
 */
const BENCH_ENGINE_OPTIONS = { maxBatch: 6, stepMsPerPrefillToken: 0.25, cacheTokens: 40_000 };
const WEIGHTS_BY_DEPLOYMENT: Readonly<Record<Deployment['name'], BenchWeights>> = {
  pipeline: { latencyWeight: 0.7, prefixWeight: 4 },
  consortium: { latencyWeight: 0.6, prefixWeight: 8 },
};

/** Options of the fleet that the bench runs on. */
export function benchFleetOptions(
  deployment: Deployment,
  seed: number,
): Omit<FleetOptions, 'workFolder'> {
  return {
    deployment,
    timeScale: TIME_SCALE,
    journalGroups: JOURNAL_GROUPS,
    seed,
    engineSettings: { model: BENCH_ENGINE_OPTIONS },
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
          const result = await this.runPolicy(policy, seed, load, load * capacity);
          runs.push(result);
          report(formatRunResult(result));
        }
      }
    }
    return { capacity, runs };
  }

  private async measureCapacity(seed: number): Promise<number> {
    await this.restartWithPolicy(BENCH_POLICIES[0]!);
    const startedAtMs = Date.now();
    const recorder = await this.runWorkload(seed, { concurrency: CAPACITY_CONCURRENCY });
    return this.completedPerSecond(recorder, startedAtMs);
  }

  /** Runs the workload with open-loop (rate) or closed-loop (concurrency) arrivals. */
  private runWorkload(
    seed: number,
    arrivals: Pick<LoadOptions, 'concurrency' | 'ratePerSecond'>,
  ): Promise<WorkloadRecorder> {
    return runLoad(this.options.fleet, {
      seed,
      timeScale: TIME_SCALE,
      sizeScale: SIZE_SCALE,
      programs: Number.POSITIVE_INFINITY,
      durationMs: this.options.durationMs,
      patienceMs: TIMEOUT_MS,
      ...arrivals,
    });
  }

  /** Measured in the second half of the arrival period, without warm-up and drain. */
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

  private async runPolicy(
    policy: BenchPolicy,
    seed: number,
    load: number,
    ratePerSecond: number,
  ): Promise<BenchRunResult> {
    await this.restartWithPolicy(policy);
    const startedAtMs = Date.now();
    const recorder = await this.runWorkload(seed, { concurrency: 0, ratePerSecond });
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

  /** Restarts gateways with the settings of a policy, and engines with empty caches. */
  private async restartWithPolicy(policy: BenchPolicy): Promise<void> {
    const { fleet } = this.options;
    const settings = createGatewaySettings(
      policy,
      WEIGHTS_BY_DEPLOYMENT[fleet.plan.deployment.name],
    );
    const restarted = [...fleet.ofKind('gateway'), ...fleet.ofKind('engine')];
    await Promise.all(
      restarted.map(async (process) => {
        await process.stop(TIMEOUT_MS);
        if (process.plan.kind === 'gateway') Object.assign(process.plan.settings, settings);
        await process.start();
      }),
    );
    await fleet.waitUntilGatewaysReady();
  }
}

function formatRunResult({
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
