/** The problem documents by which callers learn that a call has no answer. */
import { HttpProblem, type Problem, unknownOutcomeProblem } from '../http/index.js';
import type { RefusalReason } from '../journal/index.js';
import type { CallResult } from './call-result.js';

interface RefusalText {
  status: number;
  detail: string;
}

const REFUSALS: Readonly<Record<RefusalReason, RefusalText>> = {
  'budget-exhausted': { status: 402, detail: 'the budget does not cover the call' },
  'out-of-order': { status: 409, detail: 'the call before this one is not settled' },
  'call-in-progress': { status: 409, detail: 'another call of the program is under way' },
  'program-ended': { status: 410, detail: 'the program has ended' },
  'call-limit': { status: 422, detail: 'the program has made all the calls that it may make' },
  'depth-limit': { status: 422, detail: 'sub-agents are nested too deep' },
  looping: { status: 422, detail: 'the program repeats the same call too often' },
  overloaded: { status: 429, detail: 'the back ends are busy' },
  'no-backend': { status: 503, detail: 'no back end serves this' },
  'no-lease': { status: 503, detail: 'this gateway may start no work now; try another' },
  'backend-refused': { status: 503, detail: 'the back end did not take the call' },
  'parent-unavailable': { status: 409, detail: 'the parent program does not exist or has ended' },
  'refused-before': { status: 409, detail: 'this submission was refused; raise its number' },
};

/** The problem that tells a caller of a result other than a complete answer. */
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
    case 'journal-unavailable':
      return outcomePendingProblem(
        result.retryAfterMs,
        'the journal cannot be reached; send the same submission again to learn the outcome',
      ).problem;
  }
}

/**
 * The same for programs that do not exist, for those of other tenants, and for those that were
 * forgotten long after their end; calls of the latter may have run.
 */
export function unknownProgramProblem(): HttpProblem {
  return unknownOutcomeProblem('no such program', 'unknown_program', 404);
}

/** The gateway cannot tell now; the same submission may be sent again, here or elsewhere. */
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
