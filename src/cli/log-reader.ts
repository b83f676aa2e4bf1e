/** Reads files of decision logs for the commands that explain them. */
import { readFileSync } from 'node:fs';
import { type LogRecord, parseLogLine } from '../explain/index.js';

/** The records of a file; lines that are none are passed over. */
export function readLogRecords(file: string): LogRecord[] {
  const lines = readFileSync(file, 'utf8').split('\n');
  return lines.flatMap((line) => parseLogLine(line) ?? []);
}
