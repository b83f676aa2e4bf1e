/** Maps the results of calls that have no answer to problem documents. */
import {
  HttpProblem,
  type Problem,
  SHUTDOWN_RETRY_AFTER_MS,
  unknownOutcomeProblem,
} from '../http/index.js';
import type { RefusalReason } from '../journal/index.js';
import type { CallResult } from './call-result.js';

interface RefusalText {
  status: number;
  detail: string;
}

const REFUSALS: Readonly<Record<RefusalReason, RefusalText>> = {
  'budget-exhausted': { status: 402, detail: 'the budget does not cover the call' },
  'out-of-order': { status: 409, detail: 'the call before this one is not settled' },
  'call-in-progress': { status: 409, detail: 'another call of the program is in progress' },
  'program-ended': { status: 410, detail: 'the program has ended' },
  'call-limit': { status: 422, detail: 'the program has reached its maximum number of calls' },
  'depth-limit': { status: 422, detail: 'the maximum nesting depth of programs is exceeded' },
  looping: { status: 422, detail: 'the program repeats the same call too often' },
  overloaded: { status: 429, detail: 'all backends are at capacity' },
  'no-backend': { status: 503, detail: 'no backend serves this model or service' },
  'no-lease': { status: 503, detail: 'this gateway does not hold a lease; try another gateway' },
  'backend-refused': { status: 503, detail: 'the backend did not accept the call' },
  'shutting-down': {
    status: 503,
    detail: 'this gateway stops before the call could end; send it to another gateway',
  },
  'parent-unavailable': { status: 409, detail: 'the parent program does not exist or has ended' },
  'refused-before': {
    status: 409,
    detail: 'this submission was refused; resubmit with a higher number',
  },
};

/** Returns the problem that reports a result other than a completed call. */
export function problemOf(result: Exclude<CallResult, { kind: 'completed' }>): HttpProblem {
  return new HttpProblem(problemDocument(result));
}

export function refusalProblem(reason: RefusalReason, canSendAgain: boolean): HttpProblem {
  const { status, detail } = REFUSALS[reason];
  const code = reason.replaceAll('-', '_');
  return new HttpProblem({ status, code, detail, outcome: 'not_run', sendAgain: canSendAgain });
}

function problemDocument(result: Exclude<CallResult, { kind: 'completed' }>): Problem {
  switch (result.kind) {
    case 'not-run':
      return {
        ...refusalProblem(result.reason, result.canSendAgain).problem,
        retryAfterMs: result.retryAfterMs,
        nextSubmission: result.canSendAgain ? result.nextSubmission : undefined,
      };
    case 'unknown':
      return {
        status: 502,
        code: 'outcome_unknown',
        detail: result.detail,
        outcome: 'unknown',
        sendAgain: false,
      };
    case 'conflict':
      return {
        status: 409,
        code: 'request_mismatch',
        detail: 'another request is recorded under this sequence number',
        outcome: 'not_run',
        sendAgain: false,
      };
    case 'unknown-program':
      return unknownProgramProblem().problem;
    case 'interrupted':
      return callGoesOnProblem().problem;
    case 'journal-unavailable':
      return outcomePendingProblem(
        result.retryAfterMs,
        'the journal is unreachable; resend the same submission to get the outcome',
      ).problem;
  }
}

/**
 * Reported alike for programs that do not exist, that belong to other tenants, or whose records have
 * expired. The outcome is unknown because calls of expired programs may have run.
 */
export function unknownProgramProblem(): HttpProblem {
  return unknownOutcomeProblem('no such program', 'unknown_program', 404);
}

/** The gateway stops, and the call may go on at another one, which answers the same submission. */
export function callGoesOnProblem(): HttpProblem {
  return outcomePendingProblem(
    SHUTDOWN_RETRY_AFTER_MS,
    'this gateway stops; send the same submission to another gateway to get the outcome',
  );
}

/** The outcome is not known yet; the same submission may be resent to any gateway. */
export function outcomePendingProblem(retryAfterMs: number, detail: string): HttpProblem {
  return new HttpProblem({
    status: 503,
    code: 'outcome_pending',
    detail,
    outcome: 'unknown',
    sendAgain: true,
    retryAfterMs,
  });
}
