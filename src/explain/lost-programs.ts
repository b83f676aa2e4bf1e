/** Programs that earned less than they could: which were late, refused or failed, when, where and for what reason. */
import { groupBy } from '../common/group-by.js';
import type { LogRecord } from './log-record.js';
import {
  ANSWERED,
  CALL,
  EXPECTED_OUTCOMES,
  WINDOW_MS,
  byTime,
  numberOf,
  startOf,
} from './record-fields.js';

export type LossKind = 'late' | 'refused' | 'failed';

/** A program whose last call had no answer, or that was answered after its objective. */
export interface LostProgram {
  kind: LossKind;
  /** What took longest in the calls of a late program; outcome and failed step of the last call of any other. */
  reason: string;
  /** Start of its first call, in milliseconds since 1970. */
  begunAt: number;
  route: string;
  /** Name of its last gateway without the number. */
  place: string;
}

/** Lost programs by begin, reason, route and place. */
export interface LossSummary {
  begun: number;
  lost: number;
  windows: LossWindow[];
  reasons: LossCount[];
  routes: LossCount[];
  places: LossCount[];
}

/** Programs that began in one time window. */
export interface LossWindow extends Record<LossKind, number> {
  /** Start of the window, in seconds after the first call. */
  fromSecond: number;
  begun: number;
  /** The most frequent reason; empty if no program was lost. */
  mainReason: string;
}

export interface LossCount {
  name: string;
  programs: number;
}

/** Outcomes of calls that are turned away before they are sent to a back end. */
const REFUSALS: ReadonlySet<unknown> = new Set([
  'not-admitted',
  'overloaded',
  'over-limit',
  'not-ready',
  'ends-backends',
  'send-pending',
]);

export function summarizeLosses(records: readonly LogRecord[]): LossSummary {
  const calls = records.filter(({ event, fields }) => event === CALL && fields.program);
  const programs = [...groupBy(calls, ({ fields }) => String(fields.program)).values()].map(
    (ofProgram) => [...ofProgram].sort(byTime),
  );
  const lost = programs.flatMap(findLoss);
  const begins = programs.map(beginOf);
  return {
    begun: programs.length,
    lost: lost.length,
    windows: summarizeWindows(begins, lost),
    reasons: count(lost.map(describeReason)),
    routes: count(lost.map((loss) => `${loss.route}: ${describeReason(loss)}`)),
    places: count(lost.map(({ place }) => place)),
  };
}

function beginOf(calls: readonly LogRecord[]): number {
  return Math.min(...calls.map(startOf));
}

/** @param calls of one program, oldest first */
function findLoss(calls: readonly LogRecord[]): LostProgram[] {
  const last = calls.at(-1)!;
  const { route, outcome } = last.fields;
  const base = {
    begunAt: beginOf(calls),
    route: String(route),
    place: last.node.replace(/-?\d+$/, ''),
  };
  if (EXPECTED_OUTCOMES.has(outcome)) return [];
  if (outcome !== ANSWERED) {
    const kind = REFUSALS.has(outcome) ? 'refused' : 'failed';
    return [{ ...base, kind, reason: reasonOfEnd(last) }];
  }
  const isLate = calls.some(({ fields }) => fields.remainingMs === 0);
  return isLate ? [{ ...base, kind: 'late', reason: longestPart(calls) }] : [];
}

function reasonOfEnd({ fields }: LogRecord): string {
  const { outcome, failedStep, ledgerDelayMs } = fields;
  const step = failedStep === undefined ? '' : ` at ${String(failedStep)}`;
  const delay = numberOf(ledgerDelayMs) > 0 ? ' by the delay of the ledger' : '';
  return `${String(outcome)}${step}${delay}`;
}

/** The phase that took most of a program's time in its gateways. */
function longestPart(calls: readonly LogRecord[]): string {
  const parts: Record<string, number> = { ledger: 0, waiting: 0, 'first event': 0, generating: 0 };
  for (const { fields } of calls) {
    const ms = numberOf(fields.ms);
    const firstMs = numberOf(fields.firstMs);
    const reserveMs = numberOf(fields.reserveMs);
    const keepMs = numberOf(fields.keepMs);
    const waitedMs = numberOf(fields.waitedMs);
    parts.ledger! += reserveMs + keepMs;
    parts.waiting! += waitedMs;
    parts['first event']! += Math.max(0, firstMs - reserveMs - waitedMs);
    parts.generating! += Math.max(0, ms - firstMs - keepMs);
  }
  return Object.entries(parts).sort(([, left], [, right]) => right - left)[0]![0];
}

function describeReason({ kind, reason }: LostProgram): string {
  return kind === 'late' ? `late behind ${reason}` : `${kind}, ${reason}`;
}

function summarizeWindows(begins: readonly number[], lost: readonly LostProgram[]): LossWindow[] {
  // Not `Math.min(...begins)`: a long run has more programs than a call may have arguments.
  const start = begins.reduce((first, at) => Math.min(first, at), Infinity);
  const windowOf = (at: number): number => Math.floor((at - start) / WINDOW_MS);
  const begunByWindow = groupBy(begins, (at) => String(windowOf(at)));
  const lostByWindow = groupBy(lost, ({ begunAt }) => String(windowOf(begunAt)));
  const windows = [...begunByWindow].sort(([left], [right]) => Number(left) - Number(right));
  return windows.map(([index, begun]) => {
    const losses = lostByWindow.get(index) ?? [];
    const countOf = (kind: LossKind): number => losses.filter((loss) => loss.kind === kind).length;
    return {
      fromSecond: (Number(index) * WINDOW_MS) / 1_000,
      begun: begun.length,
      late: countOf('late'),
      refused: countOf('refused'),
      failed: countOf('failed'),
      mainReason: count(losses.map(describeReason))[0]?.name ?? '',
    };
  });
}

/** Most frequent first. */
function count(names: readonly string[]): LossCount[] {
  return [...groupBy(names, (name) => name)]
    .map(([name, same]) => ({ name, programs: same.length }))
    .sort((left, right) => right.programs - left.programs);
}
