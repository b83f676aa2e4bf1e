/** Builds the journal commands that start an attempt of a call. */
import type { BeginCommand, CallRecord, RestartCommand } from '../journal/index.js';
import { createAttemptToken } from './attempt-token.js';
import type { CallContext, CallSpecification } from './call-context.js';

/** @param serviceCost cost ceiling of a service call, in tokens; 0 for model calls */
export function beginCommand(
  context: CallContext,
  specification: CallSpecification,
  backend: string,
  serviceCost: number,
): BeginCommand {
  const { programId, tenant, sequence, submission, requestHash, request } = specification;
  return {
    type: 'begin',
    programId,
    tenant,
    sequence,
    submission,
    requestHash,
    request,
    token: createAttemptToken(),
    gateway: context.identity,
    backend,
    serviceCost,
  };
}

/** @param neverRan whether this gateway knows that no backend accepted the lost attempt */
export function restartCommand(
  context: CallContext,
  specification: CallSpecification,
  lost: CallRecord,
  neverRan: boolean,
  backend: string,
): RestartCommand {
  const { programId, tenant, sequence } = specification;
  return {
    type: 'restart',
    programId,
    tenant,
    sequence,
    fromAttempt: lost.current.attempt,
    neverRanToken: neverRan ? lost.current.token : undefined,
    token: createAttemptToken(),
    gateway: context.identity,
    backend,
  };
}
