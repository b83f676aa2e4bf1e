/** Parser for the lines of decision logs. */

/** One line of a process's log. */
export interface LogRecord {
  time: string;
  level: string;
  event: string;
  process: string;
  node: string;
  /** All other fields. */
  fields: Readonly<Record<string, unknown>>;
}

const NAMED_FIELDS = new Set(['time', 'level', 'event', 'process', 'node']);

/**
 * Parses one line; a prefix before the first brace, such as a collector's timestamp, is skipped.
 * @returns undefined if the line is not a log record
 */
export function parseLogLine(line: string): LogRecord | undefined {
  const start = line.indexOf('{');
  if (start < 0) return undefined;
  let value: unknown;
  try {
    value = JSON.parse(line.slice(start));
  } catch {
    return undefined;
  }
  if (typeof value !== 'object' || value === null) return undefined;
  const record = value as Readonly<Record<string, unknown>>;
  if (typeof record.event !== 'string' || typeof record.time !== 'string') return undefined;
  const fields = Object.entries(record).filter(([name]) => !NAMED_FIELDS.has(name));
  return {
    time: record.time,
    level: String(record.level),
    event: record.event,
    process: String(record.process),
    node: String(record.node),
    fields: Object.fromEntries(fields),
  };
}
