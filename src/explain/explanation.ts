/** Finds in the logs of many processes what happened to a call or program, and the state changes around it. */
import { findingsOf } from './call-findings.js';
import type { Finding } from './finding.js';
import type { LogRecord } from './log-record.js';
import { byTime, matchesId, startOf } from './record-fields.js';
import { linesOfSameStream } from './stream-findings.js';
import { type RestoredTurns, isHistoryMissing, restoredTurnsOf } from './restored-turns.js';

export interface Explanation {
  /**
   * Lines that name the call or program, the call's previous turn while it ran, or another attempt at the same stream, in
   * order of time.
   */
  direct: LogRecord[];
  /** State changes of the processes involved and of the groups they depend on, around that time. */
  surrounding: LogRecord[];
  /** How scheduling affected the calls, in sentences. */
  findings: Finding[];
  /** For each ledger member, if a turn was refused because its history was missing. */
  restoredTurns: RestoredTurns[];
}

/** How long before the first line state changes are included. */
const SURROUNDING_BEFORE_MS = 5_000;
const SURROUNDING_AFTER_MS = 500;

/** Events that report a change of state. */
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
  'gateway cut off',
  'gateway not cut off any more',
  'gateway overloaded',
  'gateway not overloaded any more',
  'gateway left its zone',
  'gateway back in its zone',
  'waiting calls refused',
  'waiting calls admitted again',
  'programs limited',
  'programs admitted again',
  'shared admission in force',
  'shared admission not in force',
  'back end failing',
  'back end no longer failing',
  'log.dropped',
]);

/** Logged once a second while a member fetches values; a change of state only if values are missing. */
const KEPT_TURNS_FETCHED = 'kept turns fetched';

const ID_FIELDS = ['call', 'program', 'session'] as const;

export function explain(id: string, records: readonly LogRecord[]): Explanation {
  const named = records.filter((record) => mentions(record, id));
  const previousTurnLines = named.flatMap((record) => linesOfPreviousTurn(record, records));
  const streamLines = linesOfSameStream(named, records);
  const direct = [...new Set([...named, ...previousTurnLines, ...streamLines])].sort(byTime);
  const first = direct[0];
  const last = direct.at(-1);
  if (!first || !last) return { direct, surrounding: [], findings: [], restoredTurns: [] };
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
  return { direct, surrounding, findings: findingsOf(direct, records), restoredTurns };
}

function mentions({ fields }: LogRecord, id: string): boolean {
  return ID_FIELDS.some((field) => matchesId(fields[field], id));
}

/** Returns the lines about the history of a call, which name its previous turn and not the call itself. */
function linesOfPreviousTurn(call: LogRecord, records: readonly LogRecord[]): LogRecord[] {
  const { previousTurn } = call.fields;
  if (typeof previousTurn !== 'string') return [];
  return records.filter(
    (record) =>
      record.node === call.node &&
      matchesId(record.fields.turn, previousTurn) &&
      isBetween(record, startOf(call), Date.parse(call.time)),
  );
}

function changesState({ event, fields }: LogRecord): boolean {
  if (event !== KEPT_TURNS_FETCHED) return STATE_EVENTS.has(event);
  return typeof fields.missing === 'number' && fields.missing > 0;
}

function isBetween(record: LogRecord, from: number, to: number): boolean {
  const at = Date.parse(record.time);
  return at >= from && at <= to;
}
