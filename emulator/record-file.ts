/** Record files in JSON Lines format, read after the process that wrote them has ended. */
import { appendFileSync } from 'node:fs';

/** Appends a record synchronously, so that it survives a kill of the process. */
export function appendRecord(file: string | undefined, record: object): void {
  if (file !== undefined) appendFileSync(file, `${JSON.stringify(record)}\n`);
}
