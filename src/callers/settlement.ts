/** Converts journal results to call results, and settles calls in the journal. */
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

/** Retry delay suggested to callers when the journal is unreachable. */
export const JOURNAL_RETRY_AFTER_MS = 500;
const DEFAULT_RETRY_AFTER_MS = 200;
/** How long recording a finished answer is retried before the caller is told to retry later. */
const FINISH_TIMEOUT_MS = 6_000;
const FINISH_RETRY_DELAY_MS = 50;
/** Timeout for requests to the journal while the gateway holds no lease, or is about to end. */
const SHORT_TIMEOUT_MS = 400;

export function resultOfSettled(call: CallRecord, usage?: EngineUsage): CallResult {
  const settled = call.settled!;
  if (settled.outcome === 'unknown') return { kind: 'unknown', detail: settled.answer };
  const { answer, finishReason, cost } = settled;
  return { kind: 'completed', answer, finishReason, cost, usage };
}

/** Transient reasons, for which a retry after a delay may succeed. */
const TRANSIENT_REASONS: ReadonlySet<RefusalReason> = new Set<RefusalReason>([
  'overloaded',
  'no-backend',
  'no-lease',
  'backend-refused',
  'shutting-down',
  'call-in-progress',
]);

/** One submission of a call. */
export type SubmissionIdentity = Pick<
  CallSpecification,
  'tenant' | 'programId' | 'sequence' | 'submission'
>;

export function resultOfRefusal(
  specification: SubmissionIdentity,
  refused: RefusedResult,
  retryAfterMs?: number,
): CallResult {
  const isTransient = TRANSIENT_REASONS.has(refused.reason);
  return {
    kind: 'not-run',
    reason: refused.reason,
    // Journals of earlier versions don't know `shutting-down`.
    canSendAgain: refused.canSendAgain || refused.reason === 'shutting-down',
    nextSubmission: specification.submission + 1,
    retryAfterMs: retryAfterMs ?? (isTransient ? DEFAULT_RETRY_AFTER_MS : undefined),
  };
}

type FinalAnswer = SettledResult | RefusedResult | ConflictResult | UnknownProgramResult;

export function resultOfFinalAnswer(
  specification: SubmissionIdentity,
  answer: FinalAnswer,
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
 * Records that a submission will never run, so that this can be reported to the caller.
 * @returns the call's record when the call is in progress already
 * @throws GroupUnavailableError when the journal is unreachable
 */
export async function refuse(
  context: CallContext,
  specification: SubmissionIdentity,
  reason: RefusalReason,
  retryAfterMs?: number,
): Promise<CallResult | CallRecord> {
  const { programId, tenant, sequence, submission } = specification;
  const command = { type: 'refuse' as const, programId, tenant, sequence, submission, reason };
  // Without a lease the journal is probably unreachable too, so that the caller should try another gateway soon.
  const isUrgent = reason === 'no-lease' || reason === 'shutting-down';
  const timeoutMs = isUrgent ? SHORT_TIMEOUT_MS : undefined;
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
  /** Engines that this gateway used for the call. @default none */
  backends?: string[];
  usage?: EngineUsage;
}

/**
 * Settles a call in the journal; the first settlement is authoritative.
 * @returns undefined when the attempt was fenced by a newer one that is still in progress
 * @throws GroupUnavailableError when the journal stays unreachable
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
  const deadline = monotonicMs() + FINISH_TIMEOUT_MS;
  for (;;) {
    try {
      const answer = await context.journal.finish(command);
      if (answer.status === 'running') return undefined;
      if (answer.status === 'settled') return resultOfSettled(answer.call, usage);
      return resultOfFinalAnswer(specification, answer);
    } catch (error) {
      if (!(error instanceof GroupUnavailableError) || monotonicMs() >= deadline) throw error;
      await sleep(FINISH_RETRY_DELAY_MS);
    }
  }
}
