/** States in sentences at which software version a resumed stream ran, or why it was refused. */
import { type Finding, createFinding } from './finding.js';
import type { LogRecord } from './log-record.js';
import { CALL, matchesId } from './record-fields.js';

/**
 * Finds the lines of the other attempts of a caller at the same stream: the one that began it, and those that resumed it.
 * @param named lines of the call or program
 */
export function linesOfSameStream(
  named: readonly LogRecord[],
  records: readonly LogRecord[],
): LogRecord[] {
  const firstAttempts = new Set(
    named
      .filter(({ event }) => event === CALL)
      .flatMap(({ fields: { call, resumedAttempt } }) => [call, resumedAttempt])
      .filter((id) => typeof id === 'string'),
  );
  return records.filter(
    ({ event, fields: { call, resumedAttempt } }) =>
      event === CALL &&
      (firstAttempts.has(call as string) || firstAttempts.has(resumedAttempt as string)),
  );
}

/** @param records of all processes */
export function findResumption(line: LogRecord, records: readonly LogRecord[]): Finding[] {
  const { lastEventId, resumedAttempt, streamVersion, outcome } = line.fields;
  if (lastEventId === undefined && resumedAttempt === undefined) return [];
  const what = `the stream of attempt ${String(resumedAttempt ?? 'unknown')} after event ${String(lastEventId)}`;
  const began = versionsOfAttempt(resumedAttempt, records);
  if (outcome === 'unknown-stream') {
    const text = `refused to resume ${what}: ${whyUnknown(line)}${began}`;
    return [createFinding(line, 'unknown-stream', text)];
  }
  if (outcome === 'no-backend-of-version') {
    const text = `refused to resume ${what}: no back end of ${String(streamVersion)} accepted new calls${began}`;
    return [createFinding(line, 'no-backend-of-version', text)];
  }
  const at = streamVersion === undefined ? '' : ` at ${String(streamVersion)}`;
  return [createFinding(line, 'resumed-stream', `resumed ${what}${at}${began}`)];
}

function whyUnknown({ fields: { resumedAttempt, possibleVersions, reason } }: LogRecord): string {
  if (resumedAttempt !== undefined) return 'the ledger has no software version of it';
  if (possibleVersions === undefined)
    return `the directory did not tell versions: ${String(reason)}`;
  const known = possibleVersions === '' ? 'none is known' : `known: ${String(possibleVersions)}`;
  return `the caller names no attempt, and not exactly one version may have begun it (${known})`;
}

/** The versions that the line of the first attempt names, if it was logged. */
function versionsOfAttempt(attempt: unknown, records: readonly LogRecord[]): string {
  const first = records.find(
    ({ event, fields }) =>
      event === CALL && typeof attempt === 'string' && matchesId(fields.call, attempt),
  );
  const versions = first?.fields.versions;
  return versions === undefined
    ? ''
    : `; ${first!.node} had sent that attempt to ${String(versions)}`;
}
