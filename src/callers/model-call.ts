/**
 * Runs one model call from admission to settlement: records an attempt in the journal, sends it to an
 * engine and streams the response. Broken streams are resumed, a lost engine is replaced by a new attempt
 * on another one, and a call in progress at another gateway is followed.
 */
import type { Backend, EngineStreamEnd } from '../backends/index.js';
import { countMessageTokens, monotonicMs } from '../common/index.js';
import type { BegunResult, CallRecord, RestartResult } from '../journal/index.js';
import { SHUTDOWN_RETRY_AFTER_MS } from '../http/index.js';
import { prefixKey } from '../routing/index.js';
import type { AdmissionResult } from '../scheduling/index.js';
import { beginCommand, restartCommand } from './attempt-commands.js';
import { canDispatchCall } from './call-duration.js';
import type { CallContext, CallSpecification } from './call-context.js';
import type { CallExecution } from './call-execution.js';
import type { CallResult } from './call-result.js';
import { EngineStreamReader } from './engine-stream-reader.js';
import type { ProgramHint } from './program-hints.js';
import {
  type CallSettlement,
  refuse,
  resultOfRefusal,
  resultOfFinalAnswer,
  settle,
} from './settlement.js';

type Admitted = Extract<AdmissionResult, { kind: 'admitted' }>;

const MAX_ATTEMPTS = 4;
/** Maximum number of engines that may be lost under one call, over all gateways. */
const MAX_LOST_ATTEMPTS = 3;
const SETTLE_WAIT_MS = 1_000;

export class ModelCall {
  private readonly arrivedAt = monotonicMs();
  private readonly excluded = new Set<string>();
  private readonly streams: EngineStreamReader;
  private hint!: ProgramHint;

  constructor(
    private readonly context: CallContext,
    private readonly specification: CallSpecification,
    private readonly execution: CallExecution,
  ) {
    this.streams = new EngineStreamReader({
      context,
      specification,
      execution,
      arrivedAt: this.arrivedAt,
    });
  }

  async begin(): Promise<CallResult> {
    const { context, specification } = this;
    const { programId, tenant } = specification;
    if (!context.lease.isHeld) return this.refuse('no-lease');
    const hint = await context.hints.get(programId, tenant);
    if (!hint) return { kind: 'unknown-program' };
    this.hint = hint;
    this.notePrefix();
    this.noteContinued();
    context.retries.noteFirstTry();
    const admission = await this.admit();
    if (admission.kind === 'no-backend') return this.refuse('no-backend');
    if (admission.kind === 'overloaded') return this.refuse('overloaded', admission.retryAfterMs);
    if (admission.kind === 'closed') return this.refuseByShutdown();
    try {
      if (!canDispatchCall(context, 'model')) return await this.refuseByShutdown();
      return await this.beginAt(admission);
    } finally {
      admission.release();
    }
  }

  /** Follows an attempt that another gateway started, and takes over if that gateway is lost. */
  async follow(call: CallRecord): Promise<CallResult> {
    const { context, specification } = this;
    context.metrics.followedCalls.inc();
    const graceMs = context.settings.calls.takeoverGrace;
    let current = call;
    let graceEnd = monotonicMs() + graceMs;
    for (;;) {
      const backend = context.backends.find(current.current.backend);
      const end = backend ? await this.streams.readResumed(backend, current) : undefined;
      if (end?.kind === 'finished') {
        const result = await this.settleFinished(current, end.end);
        if (result) return result;
      }
      const { programId, tenant, sequence } = specification;
      const answer = await context.journal.awaitSettled(programId, tenant, sequence, graceMs / 4);
      if (answer.status !== 'running') return this.resultOfAnswer(answer);
      if (answer.call.current.attempt !== current.current.attempt) {
        graceEnd = monotonicMs() + graceMs;
      } else if (monotonicMs() >= graceEnd) {
        return this.replaceAttempt(answer.call, false);
      }
      current = answer.call;
    }
  }

  private resultOfAnswer(
    answer: Exclude<
      Awaited<ReturnType<CallContext['journal']['awaitSettled']>>,
      { status: 'running' }
    >,
  ): CallResult | Promise<CallResult> {
    // The attempt was withdrawn meanwhile, so this submission was refused.
    if (answer.status === 'unknown-call') return this.refuse('backend-refused');
    return resultOfFinalAnswer(this.specification, answer);
  }

  private admit(): Promise<AdmissionResult> {
    const { context, specification, hint } = this;
    const ownTokens = countMessageTokens(specification.request.messages);
    return context.engineAdmission.acquire({
      tenant: specification.tenant,
      program: specification.programId,
      promptTokens: hint.historyTokens + ownTokens,
      knownPrefixTokens: hint.historyTokens,
      previousBackend: hint.previousBackend,
      sharedTokensAt: (backend) => context.prefixes.cachedTokens(backend.id, hint.prefix),
      attainedService: hint.attainedService,
      candidates: () => context.backends.enginesFor(hint.model, hint.previousBackend),
      excluded: this.excluded,
    });
  }

  private async beginAt(admission: Admitted): Promise<CallResult> {
    const { context, specification } = this;
    const command = beginCommand(context, specification, admission.backend.id, 0);
    const answer = await context.journal.begin(command);
    if (answer.status === 'running') {
      admission.release();
      return this.follow(answer.call);
    }
    if (answer.status !== 'begun') return resultOfFinalAnswer(specification, answer);
    return this.serve(answer, admission.backend);
  }

  /** Streams an attempt that is recorded in the journal, and settles the call. */
  private async serve(begun: BegunResult, backend: Backend): Promise<CallResult> {
    const end = await this.streams.readDispatched(backend, begun);
    if (end.kind === 'finished') {
      const result = await this.settleFinished(begun.call, end.end);
      if (result) {
        this.noteFinished(begun, backend, result);
        return result;
      }
    }
    if (end.kind === 'lost') {
      this.excluded.add(backend.id);
      this.context.prefixes.forget(backend.id);
      return this.replaceAttempt(begun.call, end.neverRan);
    }
    return this.waitForSuccessor();
  }

  /** Replaces a lost attempt by a new one on another engine. */
  private async replaceAttempt(lost: CallRecord, neverRan: boolean): Promise<CallResult> {
    const { context, specification } = this;
    const { programId, tenant } = specification;
    const lostAttempts = (lost.lostAttempts ?? 0) + (neverRan ? 0 : 1);
    const isAllowed = lost.current.attempt < MAX_ATTEMPTS && lostAttempts < MAX_LOST_ATTEMPTS;
    const mayRetry = isAllowed && context.retries.tryTake();
    if (!mayRetry || !context.lease.isHeld) return this.giveUp(lost, neverRan);
    this.hint ??= (await context.hints.get(programId, tenant))!;
    const admission = await this.admit();
    if (admission.kind === 'closed') return { kind: 'interrupted' };
    if (admission.kind !== 'admitted') return this.giveUp(lost, neverRan);
    try {
      context.metrics.restarts.inc({ cause: neverRan ? 'refused' : 'lost' });
      this.execution.restart();
      const { id } = admission.backend;
      const command = restartCommand(context, specification, lost, neverRan, id);
      const answer = await context.journal.restart(command);
      return await this.continueAfterRestart(answer, admission);
    } finally {
      admission.release();
    }
  }

  private continueAfterRestart(answer: RestartResult, admission: Admitted): Promise<CallResult> {
    if (answer.status === 'begun') return this.serve(answer, admission.backend);
    if (answer.status === 'running') return this.follow(answer.call);
    return Promise.resolve(resultOfFinalAnswer(this.specification, answer));
  }

  /** Ends a call that cannot be retried: as not run if that is certain, otherwise as unknown. */
  private async giveUp(lost: CallRecord, neverRan: boolean): Promise<CallResult> {
    const { context, specification } = this;
    const { programId, tenant, sequence } = specification;
    if (neverRan && !lost.mayHaveRun) {
      const { attempt, token } = lost.current;
      const reason = 'backend-refused';
      const command = { programId, tenant, sequence, attempt, token, reason } as const;
      const answer = await context.journal.withdraw({ type: 'withdraw', ...command });
      if (answer.status === 'refused') return resultOfRefusal(specification, answer);
      if (answer.status !== 'running') return resultOfFinalAnswer(specification, answer);
    }
    const finish: CallSettlement = {
      attempt: lost.current.attempt,
      outcome: 'unknown',
      answer: 'the engine was lost and no other could take the call',
      cost: 0,
      finishReason: 'unknown',
    };
    return (await settle(context, specification, finish)) ?? this.waitForSuccessor();
  }

  /** Waits for the newer attempt that fenced this one; its result is the call's result. */
  private async waitForSuccessor(): Promise<CallResult> {
    const { journal } = this.context;
    const { programId, tenant, sequence } = this.specification;
    const answer = await journal.awaitSettled(programId, tenant, sequence, SETTLE_WAIT_MS);
    if (answer.status === 'running') return this.follow(answer.call);
    return this.resultOfAnswer(answer);
  }

  private settleFinished(call: CallRecord, end: EngineStreamEnd): Promise<CallResult | undefined> {
    const { usage, finishReason } = end;
    return settle(this.context, this.specification, {
      attempt: call.current.attempt,
      outcome: 'completed',
      answer: this.execution.text,
      cost: usage.promptTokens + usage.outputTokens,
      finishReason,
      backends: [...this.excluded, call.current.backend],
      usage,
    });
  }

  private noteFinished(begun: BegunResult, backend: Backend, result: CallResult): void {
    if (result.kind !== 'completed') return;
    const { context, specification } = this;
    const { programId, tenant, sequence, request } = specification;
    const { messages } = request;
    const { answer } = result;
    context.histories.append(programId, { sequence, messages, answer });
    const answerTokens = countMessageTokens([{ role: 'assistant', content: answer }]);
    const historyTokens = begun.promptTokens + answerTokens;
    context.hints.noteCall(programId, tenant, backend.id, historyTokens);
    this.hint.attainedService = begun.attainedService + result.cost;
    if (this.hint.prefix) context.prefixes.note(backend.id, this.hint.prefix);
  }

  /** Uses the first message of the first call as the prefix that programs of a tenant share. */
  private notePrefix(): void {
    const { tenant, sequence, request } = this.specification;
    const [first] = request.messages;
    if (sequence !== 1 || !first) return;
    const key = prefixKey(tenant, this.hint.model, first.content);
    this.hint.prefix = { key, tokens: countMessageTokens([first]) };
  }

  private noteContinued(): void {
    const endedAt = this.hint.lastCallEndedMs;
    if (endedAt !== undefined) this.context.holds.noteContinued(monotonicMs() - endedAt);
  }

  private refuseByShutdown(): Promise<CallResult> {
    return this.refuse('shutting-down', SHUTDOWN_RETRY_AFTER_MS);
  }

  private async refuse(
    reason: Parameters<typeof refuse>[2],
    retryAfterMs?: number,
  ): Promise<CallResult> {
    const answer = await refuse(this.context, this.specification, reason, retryAfterMs);
    return 'kind' in answer ? answer : this.follow(answer);
  }
}
