/**
 * Where the time of a whole run went, from the decision logs of its processes: turns by their parts and
 * by the second, programs against their objectives, and calls that failed by reason and back end.
 */
import { groupBy } from '../common/index.js';
import type { LogRecord } from './log-record.js';

/** Mean times of the parts of turns, in milliseconds. */
export interface TurnLatencyBreakdown {
  turns: number;
  /** Setting tokens aside at the ledger. */
  ledgerMs: number;
  /** From there to the first event: choosing, connecting, waiting for a place, reading. */
  firstEventMs: number;
  generatingMs: number;
  /** Holding the end until the turn was kept. */
  keepingMs: number;
  /** Turns that were sent more than once. */
  sentAgain: number;
}

/** Turns that ended in one span of time. */
export interface SummaryWindow extends TurnLatencyBreakdown {
  /** Start of the span, in seconds after the first line of a call. */
  fromSecond: number;
  medianMs: number;
  p95Ms: number;
  /** Calls of programs that ended without an answer. */
  failed: number;
}

export interface FailureCount {
  outcome: string;
  /** The last back end that the call was sent to, if any. */
  backend: string;
  calls: number;
  /** Ids of some of them. */
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
  failures: FailureCount[];
}

const WINDOW_SECONDS = 2;
const MAX_EXAMPLES = 3;
/** The beginning of each send in a call's line: back end, own load, others' load. */
const SEND = /(\S+)@\d+\+\d+/g;
const ANSWERED = 'answered';
/** Outcomes that the caller or the operator brought about. */
const EXPECTED_OUTCOMES: ReadonlySet<string> = new Set(['budget-exhausted', 'no-route']);

/** What the line of one call says. */
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
  /** Back ends that it was sent to, in order. */
  sentTo: string[];
}

export function summarizeRun(records: readonly LogRecord[]): RunSummary {
  const calls = records.filter(({ event }) => event === 'call').map(readCall);
  calls.sort((left, right) => left.endedAt - right.endedAt);
  const turns = calls.filter((call) => call.isTurn && call.outcome === ANSWERED);
  return {
    turns: partsOf(turns),
    windows: windowsOf(calls),
    programs: countPrograms(calls),
    failures: countFailures(calls.filter(hasFailed)),
  };
}

function readCall({ time, fields }: LogRecord): CallLine {
  const sends = typeof fields.sends === 'string' ? fields.sends : '';
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
    sentTo: [...sends.matchAll(SEND)].map(([, backend]) => backend!),
  };
}

function hasFailed({ outcome }: CallLine): boolean {
  return outcome !== ANSWERED && !EXPECTED_OUTCOMES.has(outcome);
}

function partsOf(turns: readonly CallLine[]): TurnLatencyBreakdown {
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

function windowsOf(calls: readonly CallLine[]): SummaryWindow[] {
  const start = calls[0]?.endedAt ?? 0;
  const spanOf = ({ endedAt }: CallLine): number =>
    Math.floor((endedAt - start) / (WINDOW_SECONDS * 1_000));
  const spans = groupBy(calls, (call) => String(spanOf(call)));
  return [...spans].map(([span, inSpan]) => {
    const turns = inSpan.filter((call) => call.isTurn && call.outcome === ANSWERED);
    const times = turns.map(({ ms }) => ms).sort((left, right) => left - right);
    return {
      fromSecond: Number(span) * WINDOW_SECONDS,
      ...partsOf(turns),
      medianMs: quantile(times, 0.5),
      p95Ms: quantile(times, 0.95),
      failed: inSpan.filter(hasFailed).length,
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

function numberOf(value: unknown): number {
  return typeof value === 'number' ? value : 0;
}
