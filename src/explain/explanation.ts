/** Finds in the logs of many processes what became of one call or program, and what surrounded it. */
import type { LogRecord } from './log-record.js';

export interface Explanation {
  /** Lines that name the call or program, in order of time. */
  direct: LogRecord[];
  /** Changes at the processes involved, and of the groups they depend on, shortly before. */
  surrounding: LogRecord[];
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
  'log.dropped',
]);

const ID_FIELDS = ['call', 'program', 'session'] as const;

export function explain(id: string, records: readonly LogRecord[]): Explanation {
  const direct = records.filter((record) => names(record, id)).sort(byTime);
  const first = direct[0];
  const last = direct.at(-1);
  if (!first || !last) return { direct, surrounding: [] };
  const from = Date.parse(first.time) - lengthOf(first) - SURROUNDING_BEFORE_MS;
  const to = Date.parse(last.time) + SURROUNDING_AFTER_MS;
  const nodes = new Set(direct.map((record) => record.node));
  const surrounding = records
    .filter((record) => STATE_EVENTS.has(record.event) && !direct.includes(record))
    .filter((record) => nodes.has(record.node) || record.process !== 'gateway')
    .filter((record) => isBetween(record, from, to))
    .sort(byTime);
  return { direct, surrounding };
}

function names(record: LogRecord, id: string): boolean {
  return ID_FIELDS.some((field) => record.fields[field] === id);
}

/** Lines of calls are written at their end; they say how long they took. */
function lengthOf(record: LogRecord): number {
  const { ms } = record.fields;
  return typeof ms === 'number' ? ms : 0;
}

function isBetween(record: LogRecord, from: number, to: number): boolean {
  const at = Date.parse(record.time);
  return at >= from && at <= to;
}

function byTime(left: LogRecord, right: LogRecord): number {
  return Date.parse(left.time) - Date.parse(right.time);
}
