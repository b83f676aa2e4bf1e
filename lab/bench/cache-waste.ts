/** The three parts of wasted cache, each as a share. */
import type { BackendRecords } from '../load/backend-records.js';
import type { WorkloadRecorder } from '../workload/recorder.js';
import { BLOCK_TOKENS } from '../../emulator/model/engine-options.js';

export interface CacheWaste {
  /** Prefix tokens computed again although they had been computed for the program, of all computed. */
  recomputed: number;
  /** Token time in memory that no later call reused, of all. */
  heldUnused: number;
  /** Token time in memory after the program's end, of all. */
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
    recomputed: ratio(recomputed, computed),
    heldUnused: ratio(unused, total),
    heldAfterEnd: ratio(afterEnd, total),
  };
}

/** Share of calls that went to the engine of the program's call before. */
export function measureEngineAffinity(records: BackendRecords): number {
  const arrivals = records.engines.flatMap(({ engine, arrivals: own }) =>
    own.map((arrival) => ({ ...arrival, engine })),
  );
  const ordered = arrivals.sort((left, right) => left.wallClockMs - right.wallClockMs);
  const lastEngine = new Map<string, string>();
  let later = 0;
  let returned = 0;
  for (const { program, engine } of ordered) {
    const before = lastEngine.get(program);
    lastEngine.set(program, engine);
    if (before === undefined) continue;
    later += 1;
    if (before === engine) returned += 1;
  }
  return ratio(returned, later);
}

/** In token milliseconds of wall-clock time. */
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

function ratio(part: number, whole: number): number {
  return whole === 0 ? 0 : part / whole;
}
