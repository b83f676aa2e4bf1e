/**
 * Summary of a run from the decision logs of its processes: latency of turns by phase and time window,
 * programs that missed their objectives, effects of scheduling, and failed calls by outcome and backend.
 */
import { groupBy } from '../common/group-by.js';
import type { LogRecord } from './log-record.js';
import {
  ANSWERED,
  CALL,
  EXPECTED_OUTCOMES,
  WINDOW_MS,
  backendsSentTo,
  numberOf,
} from './record-fields.js';
import { type SchedulingCounts, countScheduling } from './scheduling-counts.js';

/** Mean durations of the phases of turns, in milliseconds. */
export interface TurnLatencyBreakdown {
  turns: number;
  /** Reserving tokens in the ledger. */
  ledgerMs: number;
  /** From the reservation to the first event: placement, connecting, queueing, prefill. */
  firstEventMs: number;
  generatingMs: number;
  /** Delaying the end of the response until the turn was stored. */
  keepingMs: number;
  /** Number of turns that were sent more than once. */
  sentAgain: number;
}

/** Turns that ended in one time window. */
export interface SummaryWindow extends TurnLatencyBreakdown {
  /** Start of the window, in seconds after the first line of a call. */
  fromSecond: number;
  medianMs: number;
  p95Ms: number;
  /** Calls that ended without an answer. */
  failed: number;
}

export interface FailureCount {
  outcome: string;
  /** Last backend that the call was sent to; empty if none. */
  backend: string;
  calls: number;
  /** Ids of some of the calls. */
  examples: string[];
}

export interface ProgramCounts {
  seen: number;
  /** Programs with a turn that arrived after the program's objective. */
  late: number;
  /** Programs whose last call ended without an answer. */
  failed: number;
}

export interface RunSummary {
  turns: TurnLatencyBreakdown;
  windows: SummaryWindow[];
  programs: ProgramCounts;
  scheduling: SchedulingCounts;
  failures: FailureCount[];
}

const MAX_EXAMPLES = 3;

/** Parsed log line of one call. */
interface CallLine {
  id: string;
  endedAt: number;
  outcome: string;
  program?: string;
  isTurn: boolean;
  ms: number;
  firstMs: number;
  reserveMs: number;
  keepMs: number;
  isLate: boolean;
  /** Backends that the call was sent to, in order. */
  sentTo: string[];
}

export function summarizeRun(records: readonly LogRecord[]): RunSummary {
  const calls = records.filter(({ event }) => event === CALL).map(readCall);
  calls.sort((left, right) => left.endedAt - right.endedAt);
  const turns = calls.filter((call) => call.isTurn && call.outcome === ANSWERED);
  return {
    turns: meanLatencies(turns),
    windows: summarizeWindows(calls),
    programs: countPrograms(calls),
    scheduling: countScheduling(records),
    failures: countFailures(calls.filter(hasFailed)),
  };
}

function readCall(record: LogRecord): CallLine {
  const { time, fields } = record;
  return {
    id: String(fields.call),
    endedAt: Date.parse(time),
    outcome: String(fields.outcome),
    program: typeof fields.program === 'string' ? fields.program : undefined,
    isTurn: fields.firstMs !== undefined,
    ms: numberOf(fields.ms),
    firstMs: numberOf(fields.firstMs),
    reserveMs: numberOf(fields.reserveMs),
    keepMs: numberOf(fields.keepMs),
    isLate: fields.remainingMs === 0,
    sentTo: backendsSentTo(record),
  };
}

function hasFailed({ outcome }: CallLine): boolean {
  return outcome !== ANSWERED && !EXPECTED_OUTCOMES.has(outcome);
}

function meanLatencies(turns: readonly CallLine[]): TurnLatencyBreakdown {
  const mean = (part: (turn: CallLine) => number): number =>
    turns.length === 0 ? 0 : turns.reduce((sum, turn) => sum + part(turn), 0) / turns.length;
  return {
    turns: turns.length,
    ledgerMs: mean((turn) => turn.reserveMs),
    firstEventMs: mean((turn) => turn.firstMs - turn.reserveMs),
    generatingMs: mean((turn) => turn.ms - turn.firstMs - turn.keepMs),
    keepingMs: mean((turn) => turn.keepMs),
    sentAgain: turns.filter((turn) => turn.sentTo.length > 1).length,
  };
}

function summarizeWindows(calls: readonly CallLine[]): SummaryWindow[] {
  const start = calls[0]?.endedAt ?? 0;
  const windowIndexOf = ({ endedAt }: CallLine): number =>
    Math.floor((endedAt - start) / WINDOW_MS);
  const callsByWindow = groupBy(calls, (call) => String(windowIndexOf(call)));
  return [...callsByWindow].map(([windowIndex, inWindow]) => {
    const turns = inWindow.filter((call) => call.isTurn && call.outcome === ANSWERED);
    const times = turns.map(({ ms }) => ms).sort((left, right) => left - right);
    return {
      fromSecond: (Number(windowIndex) * WINDOW_MS) / 1_000,
      ...meanLatencies(turns),
      medianMs: quantile(times, 0.5),
      p95Ms: quantile(times, 0.95),
      failed: inWindow.filter(hasFailed).length,
    };
  });
}

function countPrograms(calls: readonly CallLine[]): ProgramCounts {
  const lastCalls = new Map<string, CallLine>();
  const late = new Set<string>();
  for (const call of calls) {
    if (call.program === undefined) continue;
    lastCalls.set(call.program, call);
    if (call.isLate) late.add(call.program);
  }
  const failed = [...lastCalls.values()].filter(hasFailed).length;
  return { seen: lastCalls.size, late: late.size, failed };
}

function countFailures(failures: readonly CallLine[]): FailureCount[] {
  const counts = new Map<string, FailureCount>();
  for (const { id, outcome, sentTo } of failures) {
    const backend = sentTo.at(-1) ?? '';
    const key = `${outcome} ${backend}`;
    const count = counts.get(key) ?? { outcome, backend, calls: 0, examples: [] };
    count.calls += 1;
    if (count.examples.length < MAX_EXAMPLES) count.examples.push(id);
    counts.set(key, count);
  }
  return [...counts.values()].sort((left, right) => right.calls - left.calls);
}

function quantile(sorted: readonly number[], share: number): number {
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0;
}
