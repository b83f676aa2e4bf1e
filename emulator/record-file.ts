/** Records that outlive the process which makes them: one JSON object a line. */
import { appendFileSync } from 'node:fs';

/** Appends a record at once, so that it is there even if the process is killed right after. */
export function appendRecord(file: string | undefined, record: object): void {
  if (file !== undefined) appendFileSync(file, `${JSON.stringify(record)}\n`);
}
