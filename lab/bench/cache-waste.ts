/** Measures cache waste and engine affinity of a bench run. */
import type { BackendRecords } from '../load/backend-records.js';
import type { WorkloadRecorder } from '../workload/recorder.js';
import { BLOCK_TOKENS } from '../../emulator/model/engine-options.js';

export interface CacheWaste {
  /** Fraction of computed tokens that had been computed for the same program before. */
  recomputed: number;
  /** Fraction of the token time in memory that ended without reuse. */
  heldUnused: number;
  /** Fraction of the token time in memory after the end of the program. */
  heldAfterEnd: number;
}

export function measureCacheWaste(
  recorder: WorkloadRecorder,
  records: BackendRecords,
  timeScale: number,
): CacheWaste {
  let computed = 0;
  let recomputed = 0;
  for (const { usage, knownPrefixTokens } of recorder.calls) {
    if (!usage) continue;
    computed += usage.promptTokens - usage.cachedTokens;
    recomputed += Math.max(0, knownPrefixTokens - usage.cachedTokens);
  }
  const usages = records.engines.map((engine) => engine.cacheUsage);
  const unused = sum(usages.map((usage) => usage.unusedTokenMs));
  const total = unused + sum(usages.map((usage) => usage.reusedTokenMs));
  const afterEnd = tokenTimeAfterEnd(recorder, records) / timeScale;
  return {
    recomputed: fraction(recomputed, computed),
    heldUnused: fraction(unused, total),
    heldAfterEnd: fraction(afterEnd, total),
  };
}

/** Returns the fraction of calls that went to the same engine as the previous call of the program. */
export function measureEngineAffinity(records: BackendRecords): number {
  const arrivals = records.engines.flatMap(({ engine, arrivals: engineArrivals }) =>
    engineArrivals.map((arrival) => ({ ...arrival, engine })),
  );
  const ordered = arrivals.sort((left, right) => left.wallClockMs - right.wallClockMs);
  const lastEngine = new Map<string, string>();
  let repeatCalls = 0;
  let sameEngineCalls = 0;
  for (const { program, engine } of ordered) {
    const previousEngine = lastEngine.get(program);
    lastEngine.set(program, engine);
    if (previousEngine === undefined) continue;
    repeatCalls += 1;
    if (previousEngine === engine) sameEngineCalls += 1;
  }
  return fraction(sameEngineCalls, repeatCalls);
}

/** Returns token-milliseconds of wall-clock time. */
function tokenTimeAfterEnd(recorder: WorkloadRecorder, records: BackendRecords): number {
  const endedAt = new Map(recorder.programs.map((program) => [program.id, program.endedAtMs]));
  const releases = records.engines.flatMap((engine) => engine.releases);
  return sum(
    releases.map(({ program, blocks, wallClockMs }) => {
      const end = endedAt.get(program);
      return end === undefined ? 0 : blocks * BLOCK_TOKENS * Math.max(0, wallClockMs - end);
    }),
  );
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}

function fraction(part: number, total: number): number {
  return total === 0 ? 0 : part / total;
}
