/** Periods in which a process was in a state, from the lines at which the state began and ended. */
import type { LogRecord } from './log-record.js';
import { byTime } from './record-fields.js';

export interface StateEvents {
  begins: (record: LogRecord) => boolean;
  /** A line that begins the state again also ends the period before it. */
  ends: (record: LogRecord) => boolean;
}

/**
 * Returns the line at which the latest period that overlaps a time span began.
 * @param records of one process
 * @param from in milliseconds since 1970
 * @param to in milliseconds since 1970
 */
export function findPeriod(
  records: readonly LogRecord[],
  { begins, ends }: StateEvents,
  from: number,
  to: number,
): LogRecord | undefined {
  let beginning: LogRecord | undefined;
  for (const record of records.toSorted(byTime)) {
    const at = Date.parse(record.time);
    if (at > to) break;
    if (begins(record)) beginning = record;
    // A period that ended during the span still overlaps it.
    else if (at < from && ends(record)) beginning = undefined;
  }
  return beginning;
}
