/** Kept turns that the ledger members had restored when a turn was refused for its missing history. */
import type { LogRecord } from './log-record.js';
import { numberOf, optionalNumber } from './record-fields.js';

/** Latest restored state of one member before the refusal. */
export interface RestoredTurns {
  node: string;
  /** When the state was restored. */
  at: string;
  /** When the process had started, if logged. */
  startedAt?: string;
  /** Number of turns that the state refers to. */
  named: number;
  /** Number of those turns whose values were not stored. */
  missing: number;
  /** Number of values in the store when it was opened, if logged. */
  storedValues?: number;
}

const RESTORED = 'kept turns restored';
const STORE_OPENED = 'value store opened';
const STARTED = 'process.start';
const MISSING_REASON = /kept turns are held by no member/;

/** Whether a line reports that a turn was refused because no member had its history. */
export function isHistoryMissing({ fields }: LogRecord): boolean {
  const { outcome, failedStep, reason } = fields;
  return (
    outcome === 'history-missing' ||
    failedStep === 'read-history' ||
    (typeof reason === 'string' && MISSING_REASON.test(reason))
  );
}

/**
 * Returns the members, those with the most missing turns first.
 * @param records of all processes
 * @param until time of the refusal, in milliseconds since 1970
 */
export function restoredTurnsOf(records: readonly LogRecord[], until: number): RestoredTurns[] {
  const before = records.filter(({ time }) => Date.parse(time) <= until);
  const restored = before.filter(({ event }) => event === RESTORED);
  const nodes = [...new Set(restored.map(({ node }) => node))];
  return nodes
    .map((node) => describeMember(before.filter((record) => record.node === node)))
    .sort((left, right) => right.missing - left.missing);
}

/** @param records of one member, at least one of which reports the restored turns */
function describeMember(records: readonly LogRecord[]): RestoredTurns {
  const { node, time: at, fields } = latestOf(records, RESTORED)!;
  return {
    node,
    at,
    startedAt: latestOf(records, STARTED, Date.parse(at))?.time,
    named: numberOf(fields.named),
    missing: numberOf(fields.missing),
    storedValues: optionalNumber(latestOf(records, STORE_OPENED, Date.parse(at))?.fields.values),
  };
}

function latestOf(
  records: readonly LogRecord[],
  eventName: string,
  until = Infinity,
): LogRecord | undefined {
  return records
    .filter(({ event, time }) => event === eventName && Date.parse(time) <= until)
    .reduce<LogRecord | undefined>(
      (latest, record) =>
        latest && Date.parse(latest.time) > Date.parse(record.time) ? latest : record,
      undefined,
    );
}
