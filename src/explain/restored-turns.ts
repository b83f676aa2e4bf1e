/** What members of the ledger held of the kept turns that their state names, when a turn found its history missing. */
import type { LogRecord } from './log-record.js';

/** One member, by its latest restored state before the refusal. */
export interface RestoredTurns {
  node: string;
  /** When the state was restored. */
  at: string;
  /** When the process had started, if a line tells. */
  startedAt?: string;
  /** Turns that the state named. */
  named: number;
  /** Those whose values were not held. */
  missing: number;
  /** Values that its store held when it was opened, if a line tells. */
  storedValues?: number;
}

const RESTORED = 'kept turns restored';
const STORE_OPENED = 'value store opened';
const STARTED = 'process.start';
const MISSING_REASON = /kept turns are held by no member/;

/** Whether a line says that a turn was refused since no member gave its history. */
export function isHistoryMissing({ fields }: LogRecord): boolean {
  const { outcome, failedStep, reason } = fields;
  return (
    outcome === 'history-missing' ||
    failedStep === 'read-history' ||
    (typeof reason === 'string' && MISSING_REASON.test(reason))
  );
}

/**
 * Those that lack most first.
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

/** @param records of one member, at least one of which says what was restored */
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
  wanted: string,
  until = Infinity,
): LogRecord | undefined {
  return records
    .filter(({ event, time }) => event === wanted && Date.parse(time) <= until)
    .reduce<LogRecord | undefined>(
      (latest, record) =>
        latest && Date.parse(latest.time) > Date.parse(record.time) ? latest : record,
      undefined,
    );
}

function numberOf(value: unknown): number {
  return optionalNumber(value) ?? 0;
}

function optionalNumber(value: unknown): number | undefined {
  return typeof value === 'number' ? value : undefined;
}
