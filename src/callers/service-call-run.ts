/**
 * Runs one service call. A call that is not repeatable is sent at most once: only the gateway that
 * recorded its begin sends it, and if the outcome cannot be determined, it is settled as unknown.
 */
import { BackendError } from '../backends/index.js';
import { Backoff, monotonicMs, sleep } from '../common/index.js';
import { SHUTDOWN_RETRY_AFTER_MS } from '../http/index.js';
import type { CallRecord, RestartResult, RefusalReason } from '../journal/index.js';
import type { AdmissionResult } from '../scheduling/index.js';
import { beginCommand, restartCommand } from './attempt-commands.js';
import { canDispatchCall } from './call-duration.js';
import type { CallContext, CallSpecification } from './call-context.js';
import type { CallResult } from './call-result.js';
import { refuse, resultOfRefusal, resultOfFinalAnswer, settle } from './settlement.js';

type Admitted = Extract<AdmissionResult, { kind: 'admitted' }>;

/** In tokens. */
export const SERVICE_CALL_COST = 1;
const MAX_ATTEMPTS = 6;
/** Number of attempts of a repeatable call that use the short timeout. */
const SHORT_TIMEOUT_ATTEMPTS = 4;
const INITIAL_RETRY_DELAY_MS = 25;
const MAXIMUM_RETRY_DELAY_MS = 400;
/** Maximum time from proposing the begin to the dispatch; exceeded when the process was paused. */
const DISPATCH_WINDOW_MS = 1_000;

export class ServiceCallRun {
  private readonly excluded = new Set<string>();
  private readonly backoff = new Backoff({
    initialMs: INITIAL_RETRY_DELAY_MS,
    maximumMs: MAXIMUM_RETRY_DELAY_MS,
  });

  constructor(
    private readonly context: CallContext,
    private readonly specification: CallSpecification,
  ) {}

  async begin(): Promise<CallResult> {
    const { context, specification } = this;
    if (!context.lease.isHeld) return this.refuse('no-lease');
    context.retries.noteFirstTry();
    const admission = await this.admit();
    if (admission.kind === 'no-backend') return this.refuse('no-backend');
    if (admission.kind === 'overloaded') return this.refuse('overloaded', admission.retryAfterMs);
    if (admission.kind === 'closed') return this.refuseByShutdown();
    try {
      if (!canDispatchCall(context, 'service')) return await this.refuseByShutdown();
      const { id } = admission.backend;
      const command = beginCommand(context, specification, id, SERVICE_CALL_COST);
      const proposedAt = monotonicMs();
      const answer = await context.journal.begin(command);
      if (answer.status === 'running') return await this.follow(answer.call);
      if (answer.status !== 'begun') return resultOfFinalAnswer(specification, answer);
      return await this.send(answer.call, admission, proposedAt);
    } finally {
      admission.release();
    }
  }

  /** Waits for the gateway that started the call; settles the call once that gateway must have timed out. */
  async follow(call: CallRecord): Promise<CallResult> {
    const { context, specification } = this;
    context.metrics.followedCalls.inc();
    const { programId, tenant, sequence, request } = specification;
    const { serviceTimeout, takeoverGrace } = context.settings.calls;
    // A repeatable call is taken over early, any other only after its attempt must have timed out.
    const attemptTimeoutMs = request.isRepeatable ? 0 : DISPATCH_WINDOW_MS + serviceTimeout;
    const waitMs = attemptTimeoutMs + takeoverGrace;
    const answer = await context.journal.awaitSettled(programId, tenant, sequence, waitMs);
    if (answer.status === 'unknown-call') return this.refuse('backend-refused');
    if (answer.status !== 'running') return resultOfFinalAnswer(specification, answer);
    if (answer.call.current.attempt !== call.current.attempt) return this.follow(answer.call);
    if (request.isRepeatable) return this.retry(answer.call, false);
    return this.settleUnknown(answer.call);
  }

  private admit(): Promise<AdmissionResult> {
    const { context, specification } = this;
    const { tenant, programId, request } = specification;
    return context.serviceAdmission.acquire({
      tenant,
      program: programId,
      promptTokens: 0,
      knownPrefixTokens: 0,
      previousBackend: undefined,
      attainedService: 0,
      candidates: () => context.backends.servicesFor(request.service!.name),
      excluded: this.excluded,
    });
  }

  private async send(
    call: CallRecord,
    { backend }: Admitted,
    proposedAt: number,
  ): Promise<CallResult> {
    const { context, specification } = this;
    const { programId, sequence, request } = specification;
    const { attempt } = call.current;
    const { name, operation, payload } = request.service!;
    const isInTime = monotonicMs() - proposedAt < DISPATCH_WINDOW_MS;
    if (!context.lease.isHeld || !isInTime) return this.retry(call, true);
    const sentAt = monotonicMs();
    try {
      const answer = await context.services.execute(
        context.resolveAddress(backend.intent.address),
        {
          service: name,
          operation,
          payload,
          executionKey: `${programId}/${sequence}/${attempt}`,
        },
        this.timeoutOf(attempt),
      );
      backend.breaker.noteSuccess();
      backend.limit.noteLatency(monotonicMs() - sentAt);
      return await this.settleAnswer(call, answer);
    } catch (error) {
      if (!(error instanceof BackendError)) throw error;
      context.metrics.backendErrors.inc({ backend: backend.id, error: error.name });
      backend.breaker.noteFailure();
      this.excluded.add(backend.id);
      return this.retry(call, !error.mayHaveRun);
    }
  }

  /** Returns a short timeout for early attempts of a repeatable call, so that it is retried elsewhere soon. */
  private timeoutOf(attempt: number): number {
    const { serviceTimeout, serviceTryTimeout } = this.context.settings.calls;
    const { isRepeatable } = this.specification.request;
    return isRepeatable && attempt <= SHORT_TIMEOUT_ATTEMPTS ? serviceTryTimeout : serviceTimeout;
  }

  private async settleAnswer(call: CallRecord, answer: string): Promise<CallResult> {
    const result = await settle(this.context, this.specification, {
      attempt: call.current.attempt,
      outcome: 'completed',
      answer,
      cost: SERVICE_CALL_COST,
      finishReason: 'stop',
    });
    return result ?? this.follow(call);
  }

  /** Starts another attempt if the call is repeatable; otherwise ends the call. */
  private async retry(call: CallRecord, neverRan: boolean): Promise<CallResult> {
    const { context, specification } = this;
    const { request } = specification;
    const mayRetry =
      request.isRepeatable &&
      call.current.attempt < MAX_ATTEMPTS &&
      context.lease.isHeld &&
      context.retries.tryTake();
    if (mayRetry) await sleep(this.backoff.nextDelayMs());
    const admission = mayRetry ? await this.admit() : undefined;
    if (admission?.kind === 'closed') return { kind: 'interrupted' };
    if (admission?.kind !== 'admitted') return this.giveUp(call, neverRan);
    try {
      context.metrics.restarts.inc({ cause: neverRan ? 'refused' : 'lost' });
      const proposedAt = monotonicMs();
      const { id } = admission.backend;
      const command = restartCommand(context, specification, call, neverRan, id);
      const answer = await context.journal.restart(command);
      return await this.continueAfterRestart(answer, admission, proposedAt);
    } finally {
      admission.release();
    }
  }

  private continueAfterRestart(
    answer: RestartResult,
    admission: Admitted,
    proposedAt: number,
  ): Promise<CallResult> {
    if (answer.status === 'begun') return this.send(answer.call, admission, proposedAt);
    if (answer.status === 'running') return this.follow(answer.call);
    return Promise.resolve(resultOfFinalAnswer(this.specification, answer));
  }

  private async giveUp(call: CallRecord, neverRan: boolean): Promise<CallResult> {
    const { context, specification } = this;
    if (!neverRan || call.mayHaveRun) return this.settleUnknown(call);
    const { programId, tenant, sequence } = specification;
    const { attempt, token } = call.current;
    const answer = await context.journal.withdraw({
      type: 'withdraw',
      programId,
      tenant,
      sequence,
      attempt,
      token,
      reason: 'backend-refused',
    });
    if (answer.status === 'refused') return resultOfRefusal(specification, answer);
    if (answer.status === 'running') return this.settleUnknown(answer.call);
    return resultOfFinalAnswer(specification, answer);
  }

  private async settleUnknown(call: CallRecord): Promise<CallResult> {
    const result = await settle(this.context, this.specification, {
      attempt: call.current.attempt,
      outcome: 'unknown',
      answer: 'the service did not answer; it may have run the request',
      cost: SERVICE_CALL_COST,
      finishReason: 'unknown',
    });
    return result ?? this.follow(call);
  }

  private refuseByShutdown(): Promise<CallResult> {
    return this.refuse('shutting-down', SHUTDOWN_RETRY_AFTER_MS);
  }

  private async refuse(reason: RefusalReason, retryAfterMs?: number): Promise<CallResult> {
    const answer = await refuse(this.context, this.specification, reason, retryAfterMs);
    return 'kind' in answer ? answer : this.follow(answer);
  }
}
