/** Sums how scheduling affected the calls of a run. */
import type { LogRecord } from './log-record.js';
import { CALL, MEMORY_EXHAUSTED, queuedCallOf } from './record-fields.js';

export interface SchedulingCounts {
  /** Calls that waited in their gateway; those refused on arrival did not. */
  waited: number;
  totalWaitMs: number;
  maxWaitMs: number;
  /** Programs refused by shared admission or by a gateway's own limit, counted by calls. */
  refusedByAdmission: number;
  /** Calls refused on arrival at the queue or while they waited. */
  refusedByWaiting: number;
  /** Calls ended as the largest holder of an exhausted memory budget. */
  endedForMemory: number;
}

export function countScheduling(records: readonly LogRecord[]): SchedulingCounts {
  const calls = records.filter(({ event }) => event === CALL);
  const queued = calls.flatMap((call) => queuedCallOf(call) ?? []);
  const waits = queued
    .filter(({ isRefused, waitedMs }) => !isRefused || waitedMs > 0)
    .map(({ waitedMs }) => waitedMs);
  return {
    waited: waits.length,
    totalWaitMs: waits.reduce((sum, waitMs) => sum + waitMs, 0),
    maxWaitMs: waits.reduce((longest, waitMs) => Math.max(longest, waitMs), 0),
    refusedByAdmission: calls.filter(({ fields }) => fields.outcome === 'not-admitted').length,
    refusedByWaiting: queued.filter(({ isRefused }) => isRefused).length,
    endedForMemory: records.filter(({ event }) => event === MEMORY_EXHAUSTED).length,
  };
}

/** The counts as lines of text. */
export function describeScheduling(counts: SchedulingCounts): string[] {
  const { waited, totalWaitMs, maxWaitMs } = counts;
  const { refusedByAdmission, refusedByWaiting, endedForMemory } = counts;
  return [
    `waited: ${waited} calls, ${totalWaitMs} ms in total, ${maxWaitMs} ms at most`,
    `refused: ${refusedByAdmission} by admission, ${refusedByWaiting} by waiting`,
    `ended for memory: ${endedForMemory}`,
  ];
}
