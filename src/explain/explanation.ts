/** Finds in the logs of many processes what became of one call or program, and what surrounded it. */
import type { LogRecord } from './log-record.js';
import { type RestoredTurns, isHistoryMissing, restoredTurnsOf } from './restored-turns.js';

export interface Explanation {
  /** Lines that name the call or program, or the turn that it went on from while it ran, in order of time. */
  direct: LogRecord[];
  /** Changes at the processes involved, and of the groups they depend on, shortly before. */
  surrounding: LogRecord[];
  /** Of each member of the ledger, where a turn was refused since its history was missing. */
  restoredTurns: RestoredTurns[];
}

/** Changes so long before the first line still count, in milliseconds. */
const SURROUNDING_BEFORE_MS = 5_000;
const SURROUNDING_AFTER_MS = 500;

/** Events that change what processes believe. */
const STATE_EVENTS: ReadonlySet<string> = new Set([
  'process.start',
  'process.stop',
  'process.fatal',
  'process.reload',
  'directory lost',
  'directory regained',
  'leading',
  'stopped leading',
  'membership step',
  'configuration in force',
  'configuration committed',
  'back end registered',
  'back end departed',
  'back end lost',
  'silent back ends changed',
  'settlements delayed',
  'retirement started',
  'retirement complete',
  'kept turns restored',
  'kept turns lost',
  'kept turns not fetched',
  'value store opened',
  'value damaged',
  'memory tight',
  'log.dropped',
]);

/** Members say so once a second while they look for values; only what was not found changes anything. */
const KEPT_TURNS_FETCHED = 'kept turns fetched';

const ID_FIELDS = ['call', 'program', 'session'] as const;

export function explain(id: string, records: readonly LogRecord[]): Explanation {
  const named = records.filter((record) => names(record, id));
  const before = named.flatMap((record) => linesOfTurnBefore(record, records));
  const direct = [...new Set([...named, ...before])].sort(byTime);
  const first = direct[0];
  const last = direct.at(-1);
  if (!first || !last) return { direct, surrounding: [], restoredTurns: [] };
  const from = Math.min(...direct.map(startOf)) - SURROUNDING_BEFORE_MS;
  const to = Date.parse(last.time) + SURROUNDING_AFTER_MS;
  const nodes = new Set(direct.map((record) => record.node));
  const surrounding = records
    .filter((record) => changesState(record) && !direct.includes(record))
    .filter((record) => nodes.has(record.node) || record.process !== 'gateway')
    .filter((record) => isBetween(record, from, to))
    .sort(byTime);
  const refusal = direct.findLast(isHistoryMissing);
  const restoredTurns = refusal ? restoredTurnsOf(records, Date.parse(refusal.time)) : [];
  return { direct, surrounding, restoredTurns };
}

function names({ fields }: LogRecord, id: string): boolean {
  return ID_FIELDS.some((field) => isId(fields[field], id));
}

/** Below the callers' interface the ids of tenants' things carry the tenant's name before them. */
function isId(value: unknown, id: string): boolean {
  return typeof value === 'string' && (value === id || value.endsWith(`:${id}`));
}

/** Lines on the history of a call: they name the turn that it goes on from, and not the call itself. */
function linesOfTurnBefore(call: LogRecord, records: readonly LogRecord[]): LogRecord[] {
  const { previousTurn } = call.fields;
  if (typeof previousTurn !== 'string') return [];
  return records.filter(
    (record) =>
      record.node === call.node &&
      isId(record.fields.turn, previousTurn) &&
      isBetween(record, startOf(call), Date.parse(call.time)),
  );
}

function changesState({ event, fields }: LogRecord): boolean {
  if (event !== KEPT_TURNS_FETCHED) return STATE_EVENTS.has(event);
  return typeof fields.missing === 'number' && fields.missing > 0;
}

/** Lines of calls are written at their end; they say how long they took. In milliseconds since 1970. */
function startOf({ time, fields }: LogRecord): number {
  return Date.parse(time) - (typeof fields.ms === 'number' ? fields.ms : 0);
}

function isBetween(record: LogRecord, from: number, to: number): boolean {
  const at = Date.parse(record.time);
  return at >= from && at <= to;
}

function byTime(left: LogRecord, right: LogRecord): number {
  return Date.parse(left.time) - Date.parse(right.time);
}
