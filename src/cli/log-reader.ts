/** Reads decision log files. */
import { readFileSync } from 'node:fs';
import { type LogRecord, parseLogLine } from '../explain/index.js';

/** Returns the records of a file; other lines are skipped. */
export function readLogRecords(file: string): LogRecord[] {
  const lines = readFileSync(file, 'utf8').split('\n');
  return lines.flatMap((line) => parseLogLine(line) ?? []);
}
