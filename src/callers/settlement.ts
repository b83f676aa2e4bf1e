/** Turns what the journal says into what a caller is told, and settles calls there. */
import { monotonicMs, sleep } from '../common/index.js';
import { GroupUnavailableError } from '../consensus/index.js';
import type { EngineUsage } from '../backends/index.js';
import type {
  CallRecord,
  ConflictResult,
  FinishCommand,
  RefusalReason,
  RefusedResult,
  SettledResult,
  UnknownProgramResult,
} from '../journal/index.js';
import type { CallContext, CallSpecification } from './call-context.js';
import type { CallResult } from './call-result.js';

/** When a caller may come back after the journal was out of reach, in milliseconds. */
export const JOURNAL_RETRY_AFTER_MS = 500;
const DEFAULT_RETRY_AFTER_MS = 200;
/** How long a finished answer is tried to be recorded before the caller is told to come back. */
const FINISH_PATIENCE_MS = 6_000;
const FINISH_RETRY_MS = 50;
/** How long a gateway without a lease tries to reach the journal. */
const NO_LEASE_PATIENCE_MS = 400;

export function resultOfSettled(call: CallRecord, usage?: EngineUsage): CallResult {
  const settled = call.settled!;
  if (settled.outcome === 'unknown') return { kind: 'unknown', detail: settled.answer };
  const { answer, finishReason, cost } = settled;
  return { kind: 'completed', answer, finishReason, cost, usage };
}

/** Reasons that may pass by themselves after a while. */
const WAIT_REASONS: ReadonlySet<RefusalReason> = new Set<RefusalReason>([
  'overloaded',
  'no-backend',
  'no-lease',
  'backend-refused',
  'call-in-progress',
]);

export function resultOfRefusal(
  specification: CallSpecification,
  refused: RefusedResult,
  retryAfterMs?: number,
): CallResult {
  const mayWait = WAIT_REASONS.has(refused.reason);
  return {
    kind: 'not-run',
    reason: refused.reason,
    canSendAgain: refused.canSendAgain,
    nextSubmission: specification.submission + 1,
    retryAfterMs: retryAfterMs ?? (mayWait ? DEFAULT_RETRY_AFTER_MS : undefined),
  };
}

type SimpleResult = SettledResult | RefusedResult | ConflictResult | UnknownProgramResult;

export function resultOfFinalAnswer(
  specification: CallSpecification,
  answer: SimpleResult,
): CallResult {
  switch (answer.status) {
    case 'settled':
      return resultOfSettled(answer.call);
    case 'refused':
      return resultOfRefusal(specification, answer);
    case 'conflict':
      return { kind: 'conflict' };
    case 'unknown-program':
      return { kind: 'unknown-program' };
  }
}

/**
 * Records that a submission shall never run, so that the caller can be told so.
 * @returns undefined when the call turned out to be under way already
 * @throws GroupUnavailableError when the journal cannot be reached
 */
export async function refuse(
  context: CallContext,
  specification: CallSpecification,
  reason: RefusalReason,
  retryAfterMs?: number,
): Promise<CallResult | CallRecord> {
  const { programId, tenant, sequence, submission } = specification;
  const command = { type: 'refuse' as const, programId, tenant, sequence, submission, reason };
  // Without a lease the journal is likely out of reach too; the caller is better off elsewhere.
  const timeoutMs = reason === 'no-lease' ? NO_LEASE_PATIENCE_MS : undefined;
  const answer = await context.journal.refuse(command, timeoutMs);
  if (answer.status === 'running') return answer.call;
  if (answer.status === 'refused') {
    context.metrics.refusals.inc({ reason });
    return resultOfRefusal(specification, answer, retryAfterMs);
  }
  return resultOfFinalAnswer(specification, answer);
}

export interface CallSettlement {
  attempt: number;
  outcome: FinishCommand['outcome'];
  answer: string;
  cost: number;
  finishReason: string;
  /** Engines that were used for the call here. @default none */
  backends?: string[];
  usage?: EngineUsage;
}

/**
 * Settles a call in the journal; whoever settled it first has said the truth.
 * @returns undefined when the attempt was fenced by a newer one that is still under way
 * @throws GroupUnavailableError when the journal stayed out of reach
 */
export async function settle(
  context: CallContext,
  specification: CallSpecification,
  finish: CallSettlement,
): Promise<CallResult | undefined> {
  const { programId, tenant, sequence } = specification;
  const { usage, backends = [], ...outcome } = finish;
  const command: FinishCommand = {
    type: 'finish',
    programId,
    tenant,
    sequence,
    backends,
    ...outcome,
  };
  const deadline = monotonicMs() + FINISH_PATIENCE_MS;
  for (;;) {
    try {
      const answer = await context.journal.finish(command);
      if (answer.status === 'running') return undefined;
      if (answer.status === 'settled') return resultOfSettled(answer.call, usage);
      return resultOfFinalAnswer(specification, answer);
    } catch (error) {
      if (!(error instanceof GroupUnavailableError) || monotonicMs() >= deadline) throw error;
      await sleep(FINISH_RETRY_MS);
    }
  }
}
