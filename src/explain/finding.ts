/** What the logs say about the cause of a call's fate, in one sentence. */
import type { LogRecord } from './log-record.js';

export type FindingCause =
  | 'waited'
  | 'refused-by-waiting'
  | 'refused-without-waiting'
  | 'refused-by-admission'
  | 'refused-as-suspect'
  | 'ends-backends'
  | 'slow-backend'
  | 'failing-backend'
  | 'gateway-cut-off'
  | 'gateway-left-zone'
  | 'ended-for-memory'
  | 'ended-by-stop'
  | 'resumed-stream'
  | 'unknown-stream'
  | 'no-backend-of-version';

export interface Finding {
  /** Time of the line that the finding follows from. */
  time: string;
  /** Process that logged this line. */
  node: string;
  /** Id of the call; undefined if the line names none. */
  call?: string;
  cause: FindingCause;
  /** One sentence. */
  text: string;
}

export function createFinding(
  { time, node, fields: { call } }: LogRecord,
  cause: FindingCause,
  text: string,
): Finding {
  return { time, node, call: typeof call === 'string' ? call : undefined, cause, text };
}
