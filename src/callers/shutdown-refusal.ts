/** Refuses calls that can't end before the gateway does, so that no copy of them runs later. */
import { type HttpProblem, SHUTDOWN_RETRY_AFTER_MS } from '../http/index.js';
import type { CallContext } from './call-context.js';
import { callGoesOnProblem, problemOf } from './call-problem.js';
import { type SubmissionIdentity, refuse } from './settlement.js';

/**
 * Records that the submission will never run. Its caller is told to send the same submission again if that is not certain,
 * because a copy of it was received before.
 * @throws GroupUnavailableError when the journal is unreachable
 */
export async function refuseByShutdown(
  context: CallContext,
  submission: SubmissionIdentity,
): Promise<HttpProblem> {
  const result = await refuse(context, submission, 'shutting-down', SHUTDOWN_RETRY_AFTER_MS);
  const isCertain = 'kind' in result && result.kind !== 'completed';
  return isCertain ? problemOf(result) : callGoesOnProblem();
}
