/** Aggregates the results of all seeds of a torture run. */
import { type Percentiles, computePercentiles } from '../load/percentiles.js';
import type { SeedResult } from './seed-run.js';

export interface SeedFinding {
  seed: number;
  faults: string[];
  details: string[];
}

export interface TortureReport {
  deployment: string;
  firstSeed: number;
  seedsRun: number;
  violations: number;
  inconclusive: number;
  /** How often each fault was injected. */
  faultsInjected: Record<string, number>;
  /** Number of tests of each invariant over all seeds. */
  checks: Record<string, number>;
  /** Number of seeds in which each invariant was tested at least once. */
  seedsTesting: Record<string, number>;
  /** Longest wait of a caller in seeds with only this fault, in milliseconds. */
  unavailableMs: Record<string, Percentiles>;
  inForceMs: Percentiles;
  calls: number;
  callsCompleted: number;
  callsNotRun: number;
  callsUnknown: number;
  violatingSeeds: SeedFinding[];
  inconclusiveSeeds: SeedFinding[];
}

export function summarizeTorture(
  deployment: string,
  firstSeed: number,
  results: readonly SeedResult[],
): TortureReport {
  const calls = results.flatMap((result) => result.history.calls);
  const countOf = (outcome: string): number =>
    calls.filter((call) => call.outcome === outcome).length;
  const violating = results.filter((result) => result.check.violations.length > 0);
  const inconclusive = results.filter((result) => result.inconclusive !== undefined);
  return {
    deployment,
    firstSeed,
    seedsRun: results.length,
    violations: violating.reduce((sum, { check }) => sum + check.violations.length, 0),
    inconclusive: inconclusive.length,
    faultsInjected: countByName(results.flatMap((result) => result.faults)),
    checks: sumByKey(results.map((result) => result.check.tested)),
    seedsTesting: sumByKey(results.map(({ check }) => countTestedOnce(check.tested))),
    unavailableMs: waitsByFault(results),
    inForceMs: computePercentiles(results.flatMap((result) => result.inForceMs)),
    calls: calls.length,
    callsCompleted: countOf('completed'),
    callsNotRun: countOf('not_run'),
    callsUnknown: countOf('unknown'),
    violatingSeeds: violating.map(({ seed, faults, check }) => ({
      seed,
      faults,
      details: check.violations.map(({ promise, detail }) => `${promise}: ${detail}`),
    })),
    inconclusiveSeeds: inconclusive.map(({ seed, faults, inconclusive: reason }) => ({
      seed,
      faults,
      details: [reason!],
    })),
  };
}

function countByName(names: readonly string[]): Record<string, number> {
  return sumByKey(names.map((name) => ({ [name]: 1 })));
}

function sumByKey(parts: readonly Record<string, number>[]): Record<string, number> {
  const sums: Record<string, number> = {};
  for (const part of parts) {
    for (const [name, value] of Object.entries(part)) sums[name] = (sums[name] ?? 0) + value;
  }
  return sums;
}

function countTestedOnce(tested: Record<string, number>): Record<string, number> {
  const entries = Object.entries(tested);
  return Object.fromEntries(entries.map(([name, times]) => [name, times > 0 ? 1 : 0]));
}

function waitsByFault(results: readonly SeedResult[]): Record<string, Percentiles> {
  const waits = new Map<string, number[]>();
  for (const { faults, unavailableMs } of results) {
    if (unavailableMs === undefined) continue;
    const name = faults[0]!;
    waits.set(name, [...(waits.get(name) ?? []), unavailableMs]);
  }
  return Object.fromEntries([...waits].map(([name, values]) => [name, computePercentiles(values)]));
}
