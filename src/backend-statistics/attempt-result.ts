/** What an attempt to send a call says about its backend. */

/**
 * - `success`: a complete answer;
 * - `failure`: an error, a reset, an incomplete answer, or silence until the attempt was given up;
 * - `rejected`: not executed, for example because the backend is full;
 * - `unknown`: stopped before the backend was due to answer.
 */
export type AttemptResult = 'success' | 'failure' | 'rejected' | 'unknown';

export interface AttemptEnd {
  /** How the attempt ended, as in `SendResult`. */
  kind: 'complete' | 'not-sent' | 'not-executed' | 'broken' | 'stopped';
  /** Whether the answer is a server error or incomplete. */
  isFaulty: boolean;
  /** Whether this gateway gave the attempt up, because the backend did not answer in time. */
  isGivenUp: boolean;
  /** Whether reading was paused for a slow caller, which makes the backend look silent. */
  wasPaused: boolean;
  /** Duration of the attempt, in milliseconds. */
  tookMs: number;
  /** Time since the attempt was sent or data was last received, in milliseconds. */
  silentMs: number;
  /** Estimated duration when it was sent, with the wait in the backend's queue, in milliseconds. */
  estimatedMs: number;
  /** Slowdown of the backend that the estimate contains. */
  slowdown: number;
}

/**
 * Silence beyond this multiple of the estimated duration is a hang. A call that is given up earlier may only have
 * waited in the queue of a full backend.
 */
const HANG_MULTIPLE = 3;
/** Minimum silence that is a hang, in milliseconds; the first estimates of a service are too low. */
const MIN_HANG_MS = 500;

export function resultOfAttempt(end: AttemptEnd): AttemptResult {
  switch (end.kind) {
    case 'complete':
      return end.isFaulty ? 'failure' : 'success';
    case 'not-executed':
      return 'rejected';
    case 'not-sent':
      return 'failure';
    case 'broken':
      if (end.isGivenUp) return resultOfSilence(end);
      // An engine aborts an answer that its caller leaves unread.
      return end.wasPaused ? 'unknown' : 'failure';
    case 'stopped':
      return resultOfSilence(end);
  }
}

function resultOfSilence({ wasPaused, silentMs, estimatedMs }: AttemptEnd): AttemptResult {
  const hangMs = Math.max(MIN_HANG_MS, HANG_MULTIPLE * estimatedMs);
  return !wasPaused && silentMs >= hangMs ? 'failure' : 'unknown';
}

/**
 * Whether an attempt that was given up took longer than estimated, which makes its duration a lower bound. Without
 * these bounds a backend so slow that its calls are all given up would count as one of normal speed.
 */
export function isLowerBound(end: AttemptEnd): boolean {
  const wasGivenUp = end.kind === 'stopped' || (end.kind === 'broken' && end.isGivenUp);
  return wasGivenUp && !end.wasPaused && end.tookMs > end.estimatedMs;
}
