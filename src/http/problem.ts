/** Errors of the HTTP interfaces as problem documents (RFC 9457). */
import { LedgegaugeError } from '../common/index.js';

/**
 * What became of the request: `not_run`: it did not run and never will; `completed`: it ran and
 * this is its recorded end; `unknown`: it may or may not have run.
 */
export type RequestOutcome = 'not_run' | 'completed' | 'unknown';

export interface Problem {
  status: number;
  /** A short stable name of the kind of problem. */
  code: string;
  detail: string;
  outcome: RequestOutcome;
  /** Whether sending the request again, as the detail says, may succeed. */
  sendAgain: boolean;
  /** When to come back, in milliseconds. */
  retryAfterMs?: number;
  /** The number to give a new submission of the same call. */
  nextSubmission?: number;
}

const MS_PER_SECOND = 1_000;

/** Thrown inside an HTTP handler to answer with a problem document. */
export class HttpProblem extends LedgegaugeError {
  constructor(readonly problem: Problem) {
    super(problem.detail, { step: 'http.answer', retriable: problem.sendAgain });
  }
}

/** The body of a problem response. */
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

/** `Retry-After` counts whole seconds, so it is rounded up; the body has the milliseconds. */
export function problemHeaders(problem: Problem): Record<string, string> {
  const headers: Record<string, string> = { 'content-type': 'application/problem+json' };
  if (problem.retryAfterMs !== undefined) {
    headers['retry-after'] = String(Math.ceil(problem.retryAfterMs / MS_PER_SECOND));
  }
  return headers;
}

/** A request that is refused without a word on whether a copy of it ran, or ever will. */
export function unknownOutcomeProblem(detail: string, code: string, status: number): HttpProblem {
  return new HttpProblem({ status, code, detail, outcome: 'unknown', sendAgain: false });
}

/** A request that is wrong in itself: it did not run, and sending it again is no use. */
export function badRequestProblem(detail: string, code = 'bad_request', status = 400): HttpProblem {
  return new HttpProblem({ status, code, detail, outcome: 'not_run', sendAgain: false });
}
