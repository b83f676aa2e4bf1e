/** Summarizes a load run. */
import type { WorkloadRecorder } from '../workload/recorder.js';
import type { BackendRecords } from './backend-records.js';
import { type Percentiles, computePercentiles } from './percentiles.js';

export interface LoadSummary {
  programs: number;
  programsCompleted: number;
  calls: number;
  callsWrong: number;
  /** Calls without a final answer. */
  callsLost: number;
  callsNotRun: number;
  callsUnknown: number;
  /** Repeated executions of non-repeatable requests. */
  repeatedNonRepeatable: number;
  programLatencyMs: Percentiles;
  programLatencyMsByClass: Record<string, Percentiles>;
  firstTokenMs: Percentiles;
  serviceCallMs: Percentiles;
  /** Recomputed prefix tokens as a fraction of all computed prompt tokens. */
  wastedCacheShare: number;
  /** Prompt tokens served from caches as a fraction of all prompt tokens. */
  cachedShare: number;
}

export function summarizeLoad(recorder: WorkloadRecorder, records: BackendRecords): LoadSummary {
  const roots = recorder.programs.filter((program) => program.isRoot);
  const latencyOf = (program: (typeof roots)[number]): number =>
    program.lastAnswerAtMs - program.submittedAtMs - program.pausedMs;
  const complete = roots.filter((program) => program.isComplete);
  const classes = [...new Set(roots.map((program) => program.className))].sort();
  const { calls } = recorder;
  const modelCalls = calls.filter((call) => call.kind === 'model' && call.outcome === 'completed');
  const serviceCalls = calls.filter((call) => call.kind === 'service');
  return {
    programs: roots.length,
    programsCompleted: complete.length,
    calls: calls.length,
    callsWrong: calls.filter((call) => call.outcome === 'completed' && !call.isCorrect).length,
    callsLost: calls.filter((call) => call.outcome === 'pending').length,
    callsNotRun: calls.filter((call) => call.outcome === 'not_run').length,
    callsUnknown: calls.filter((call) => call.outcome === 'unknown').length,
    repeatedNonRepeatable: countRepeats(recorder, records),
    programLatencyMs: computePercentiles(complete.map(latencyOf)),
    programLatencyMsByClass: Object.fromEntries(
      classes.map((name) => [
        name,
        computePercentiles(complete.filter((program) => program.className === name).map(latencyOf)),
      ]),
    ),
    firstTokenMs: computePercentiles(
      modelCalls.flatMap((call) => (call.firstTokenMs === undefined ? [] : [call.firstTokenMs])),
    ),
    serviceCallMs: computePercentiles(
      serviceCalls.map((call) => call.endedAtMs - call.startedAtMs),
    ),
    ...cacheShares(modelCalls),
  };
}

function cacheShares(
  modelCalls: WorkloadRecorder['calls'],
): Pick<LoadSummary, 'wastedCacheShare' | 'cachedShare'> {
  let promptTokens = 0;
  let cachedTokens = 0;
  let recomputedTokens = 0;
  for (const { usage, knownPrefixTokens } of modelCalls) {
    if (!usage) continue;
    promptTokens += usage.promptTokens;
    cachedTokens += usage.cachedTokens;
    recomputedTokens += Math.max(0, knownPrefixTokens - usage.cachedTokens);
  }
  const computedTokens = promptTokens - cachedTokens;
  return {
    wastedCacheShare: computedTokens === 0 ? 0 : recomputedTokens / computedTokens,
    cachedShare: promptTokens === 0 ? 0 : cachedTokens / promptTokens,
  };
}

/** Counts the executions of non-repeatable calls beyond the first. */
function countRepeats(recorder: WorkloadRecorder, records: BackendRecords): number {
  const executions = new Map<string, number>();
  for (const { executions: serviceExecutions } of records.services) {
    for (const { key } of serviceExecutions) {
      const call = key.slice(0, key.lastIndexOf('/'));
      executions.set(call, (executions.get(call) ?? 0) + 1);
    }
  }
  return recorder.calls
    .filter((call) => call.kind === 'service' && !call.isRepeatable)
    .reduce((sum, call) => {
      const count = executions.get(`${call.program}/${call.sequence}`) ?? 0;
      return sum + Math.max(0, count - 1);
    }, 0);
}
