/** Problem documents (RFC 9457) of the HTTP APIs. */
import { LedgegaugeError } from '../common/index.js';

/**
 * Outcome of the request: `not_run`: it did not run and never will; `completed`: it ran and this is its
 * recorded result; `unknown`: it may or may not have run.
 */
export type RequestOutcome = 'not_run' | 'completed' | 'unknown';

export interface Problem {
  status: number;
  /** Stable identifier of the problem type. */
  code: string;
  detail: string;
  outcome: RequestOutcome;
  /** Whether resending the request, as described in the detail, may succeed. */
  sendAgain: boolean;
  /** Suggested delay before a retry, in milliseconds. */
  retryAfterMs?: number;
  /** Submission number to use when resubmitting the call. */
  nextSubmission?: number;
}

const MS_PER_SECOND = 1_000;
const HTTP_UNAVAILABLE = 503;
/** When a caller whose request a stopping process did not complete should come back; another process has room meanwhile. */
export const SHUTDOWN_RETRY_AFTER_MS = 300;
const MEMORY_RETRY_AFTER_MS = 300;

/** Thrown by an HTTP handler to respond with a problem document. */
export class HttpProblem extends LedgegaugeError {
  constructor(readonly problem: Problem) {
    super(problem.detail, { step: 'http.answer', retriable: problem.sendAgain });
  }
}

export function problemBody(problem: Problem): string {
  return JSON.stringify({
    type: `urn:ledgegauge:problem:${problem.code}`,
    title: problem.code.replaceAll('_', ' '),
    status: problem.status,
    detail: problem.detail,
    code: problem.code,
    outcome: problem.outcome,
    send_again: problem.sendAgain,
    retry_after_ms: problem.retryAfterMs,
    next_submission: problem.nextSubmission,
  });
}

/** `Retry-After` is in whole seconds, so it is rounded up; the body contains the milliseconds. */
export function problemHeaders(problem: Problem): Record<string, string> {
  const headers: Record<string, string> = { 'content-type': 'application/problem+json' };
  if (problem.retryAfterMs !== undefined) {
    headers['retry-after'] = String(Math.ceil(problem.retryAfterMs / MS_PER_SECOND));
  }
  return headers;
}

/** A rejection that does not tell whether a duplicate of the request ran or will run. */
export function unknownOutcomeProblem(detail: string, code: string, status: number): HttpProblem {
  return new HttpProblem({ status, code, detail, outcome: 'unknown', sendAgain: false });
}

/** An invalid request: it did not run, and resending it cannot succeed. */
export function badRequestProblem(detail: string, code = 'bad_request', status = 400): HttpProblem {
  return new HttpProblem({ status, code, detail, outcome: 'not_run', sendAgain: false });
}

/** The request was not handled, because it could not end before the process does. */
export function shuttingDownProblem(): HttpProblem {
  return new HttpProblem({
    status: HTTP_UNAVAILABLE,
    code: 'shutting_down',
    detail: 'this process stops before the request could end; send it to another one',
    outcome: 'not_run',
    sendAgain: true,
    retryAfterMs: SHUTDOWN_RETRY_AFTER_MS,
  });
}

/** The body of the request was not kept, because the memory for requests is used up. */
export function withoutMemoryProblem(): HttpProblem {
  return new HttpProblem({
    status: HTTP_UNAVAILABLE,
    code: 'no_memory',
    detail: 'this process has no memory for the request now; send it again',
    outcome: 'not_run',
    sendAgain: true,
    retryAfterMs: MEMORY_RETRY_AFTER_MS,
  });
}

/** The process stopped while the request was under way; the same request may be sent again to any process. */
export function interruptedProblem(): HttpProblem {
  return new HttpProblem({
    status: HTTP_UNAVAILABLE,
    code: 'outcome_pending',
    detail: 'this process stopped while the request was under way; send the same request again',
    outcome: 'unknown',
    sendAgain: true,
    retryAfterMs: SHUTDOWN_RETRY_AFTER_MS,
  });
}
