/** Executes one forwarded call: selects backends and sends the call until it is answered or has failed. */
import { monotonicMs } from '../common/index.js';
import type { VersionKey } from '../ledger/index.js';
import type { CompiledRoute, ResponseLimits } from '../routes/index.js';
import type { RequestGuard } from '../crash-guard/index.js';
import type { LatencyModel } from '../performance/index.js';
import type { PermitRequest } from '../waiting/index.js';
import type { BackendConnection } from './backend-connections.js';
import type { BackendProtocol } from './backend-protocol.js';
import type { BackendState, BackendView } from './backend-view.js';
import type { CallExchange, RefusalReason } from './call-exchange.js';
import { type CallResponse, createCallResponse } from './call-response.js';
import { GuardedSends } from './guarded-sends.js';
import type { PlacementDecision, Placement } from './placement.js';
import { responseTimeoutMs } from './response-timeout.js';
import { SendAttempt, type SendResult } from './send-attempt.js';
import { type SendEnd, SendMeasurement, type SendRecord } from './send-measurement.js';
import { StreamRelay } from './stream-relay.js';
import type { StreamVersion } from './stream-version.js';

export type CallOutcome =
  | { kind: 'answered' }
  | { kind: 'refused'; reason: RefusalReason; retryAfterMs?: number }
  | { kind: 'broken-off' }
  | { kind: 'abandoned' };

export interface CallRunOptions {
  exchange: CallExchange;
  route: CompiledRoute;
  service: string;
  /** The request body, including the history of earlier turns. */
  body: Buffer;
  /** Deadline of the final response (monotonic, milliseconds). */
  deadlineMs: number;
  backends: BackendView;
  placement: Placement;
  /** Id of the backend that probably has the prompt of the previous turns cached, if known. */
  promptHolder?: string;
  /** The backend to send to first, if it accepts calls. @default placement selects it */
  firstBackend?: BackendState;
  tenant?: string;
  /** Returns why the caller is no longer authorized, if so; called immediately before each attempt. */
  denial: () => RefusalReason | undefined;
  /** Whether the call, if it is sent first now, ends before the process does. @default the process does not end */
  fitsShutdown?: () => boolean;
  protocol: BackendProtocol;
  responseLimits: ResponseLimits;
  /** Restricts the backends of a stream that may be resumed. */
  streamVersion: StreamVersion;
  /** Requests the permit for the first send; undefined if none is needed. */
  requestPermit?: () => PermitRequest | undefined;
  /** Limits the backends that end under the request. @default they are not counted */
  requestGuard?: RequestGuard;
  /** Whether the output of a stream is collected. @default if the route retains turns */
  isKept?: boolean;
}

const HTTP_CLIENT_ERROR = 400;
const HTTP_SERVER_ERROR = 500;
/** Maximum number of retries after broken responses. */
const MAX_RETRIES = 2;
/** Number of other backends that a suspect request may be sent to in place of the selected one. */
const MAX_ALTERNATIVES = 3;

export class CallRun {
  readonly sends: SendRecord[] = [];
  readonly response: CallResponse;
  /** Whether an engine had to wait for the caller to read. */
  wasPaused = false;
  /** Whether the gateway had another run continue a stream that a run had begun. */
  wasResumed = false;
  /** Whether the call was stopped because the process ends. */
  isInterrupted = false;
  /** Request for the permit of the first send, if one is needed. */
  permit: PermitRequest | undefined;
  private readonly service: string;
  private readonly guardedSends: GuardedSends;
  private readonly excluded = new Set<string>();
  /** Ids of backends that may have received the call. */
  private readonly sentTo = new Set<string>();
  private pinnedPlacement: PlacementDecision | undefined;
  private attempt: SendAttempt | undefined;
  private backend: BackendState | undefined;
  /** Latency model of the service, once the call was sent. */
  private model: LatencyModel | undefined;
  private retries = 0;
  /** Start of the latest attempt (monotonic, milliseconds). */
  private sentAt = 0;
  private mayHaveRun = false;
  private isOverdue = false;

  constructor(private readonly options: CallRunOptions) {
    this.service = options.service;
    this.guardedSends = new GuardedSends(options.requestGuard, options.deadlineMs);
    const onBegun = (): void => this.noteBegun();
    this.response = createCallResponse({ ...options, onBegun });
  }

  /** The attempt whose complete response was relayed. */
  get completeSend(): SendRecord | undefined {
    const last = this.sends.at(-1);
    return last?.result === 'complete' ? last : undefined;
  }

  /** Backend of the latest attempt. */
  get lastBackend(): BackendState | undefined {
    return this.backend;
  }

  /** Whether a backend may have executed the call. */
  get hasRun(): boolean {
    return this.mayHaveRun;
  }

  /** Whether a backend may have received the call, or receives it now. */
  get mayHaveReachedBackend(): boolean {
    return this.mayHaveRun || (this.attempt?.wasSent ?? false);
  }

  /** The software version at which the stream runs, if it is bound to one. */
  get streamVersion(): VersionKey | undefined {
    return this.options.streamVersion.version;
  }

  get serviceName(): string {
    return this.service;
  }

  /** Predicted latency on unloaded backends, in milliseconds, once the call was sent. */
  get unloadedMs(): number | undefined {
    const { promptParts } = this.options.exchange.description;
    const events = this.response instanceof StreamRelay ? this.response.events : 0;
    return this.model?.predictUnloadedMs({
      missingTokens: promptParts.at(-1)?.tokens ?? 0,
      events,
    });
  }

  /** Sends the call until it is answered or no further attempt is allowed. Does not end the response. */
  async run(): Promise<CallOutcome> {
    const { exchange, deadlineMs } = this.options;
    const timer = setTimeout(() => this.onDeadline(), Math.max(0, deadlineMs - monotonicMs()));
    exchange.onAbandoned(() => this.stopSending());
    if (!exchange.isAbandoned) this.permit = this.options.requestPermit?.();
    let isTypical = false;
    try {
      const refusal = this.permit && (await this.permit.decision);
      if (refusal) return { kind: 'refused', reason: 'overloaded', ...refusal };
      const outcome = await this.sendUntilAnswered();
      isTypical = this.isTypical;
      if (outcome.kind === 'answered') return outcome;
      this.response.discard();
      await this.guardedSends.settle();
      return outcome;
    } finally {
      clearTimeout(timer);
      this.permit?.end(this.sends.length > 0, isTypical);
    }
  }

  /** The process will end: a call that must not be sent any more does not wait for its turn. */
  noteShutdown(): void {
    const isWaiting = !this.attempt && this.sends.length === 0;
    if (isWaiting && this.shutdownOutcome()) this.permit?.end(false);
  }

  /** The process ends: stops the call, whose outcome then says whether it may have run. */
  interrupt(): void {
    this.isInterrupted = true;
    this.stopSending();
  }

  private async sendUntilAnswered(): Promise<CallOutcome> {
    for (;;) {
      const stopped = this.outcomeWithoutSend();
      if (stopped) return stopped;
      const selected = this.selectBackend();
      if (!selected) {
        if (await this.changeVersion()) continue;
        return this.outcomeWithoutBackend();
      }
      const outcome = await this.sendIfCleared(selected);
      if (outcome) return outcome;
    }
  }

  /** @returns the outcome, or undefined if the call is to be sent again */
  private async sendIfCleared(selected: PlacementDecision): Promise<CallOutcome | undefined> {
    const findAlternatives = (): PlacementDecision[] => this.alternativesTo(selected);
    const clearance = await this.guardedSends.clear(selected, findAlternatives);
    if (clearance.kind === 'refused') return this.mayHaveRun ? this.brokenOutcome() : clearance;
    const stopped = this.outcomeWithoutSend();
    if (stopped) {
      this.guardedSends.cancel();
      return stopped;
    }
    const { backend } = clearance.decision;
    const result = await this.sendTo(clearance.decision);
    const { isTruncated, sentAt } = this;
    const outcome = this.outcomeOf(backend, result);
    await this.guardedSends.noteEnd({ backend, result, isTruncated, sentAt });
    return outcome;
  }

  private alternativesTo(selected: PlacementDecision): PlacementDecision[] {
    if (this.pinnedPlacement) return [];
    const excluded = new Set([...this.excluded, selected.backend.id]);
    const alternatives: PlacementDecision[] = [];
    while (alternatives.length < MAX_ALTERNATIVES) {
      const next = this.placeAmong(this.candidates, excluded);
      if (!next) break;
      alternatives.push(next);
      excluded.add(next.backend.id);
    }
    return alternatives;
  }

  private selectBackend(): PlacementDecision | undefined {
    if (this.pinnedPlacement) return this.pinnedPlacement;
    if (this.sentTo.size >= this.options.route.route.maxAttempts) return undefined;
    const { candidates } = this;
    const { firstBackend } = this.options;
    const isFirstSend = this.sends.length === 0;
    if (isFirstSend && firstBackend && candidates.includes(firstBackend))
      return { backend: firstBackend, missingTokens: 0 };
    return this.placeAmong(candidates);
  }

  private placeAmong(
    candidates: readonly BackendState[],
    excluded: ReadonlySet<string> = this.excluded,
  ): PlacementDecision | undefined {
    return this.options.placement.choose(candidates, {
      call: this.options.exchange.description,
      excluded,
      promptHolder: this.options.promptHolder,
      mayProbe: this.sends.length === 0 && this.options.route.route.kind !== 'at-most-once',
    });
  }

  /**
   * Lets a stream that has not begun run at another version, if no backend of its own accepts it.
   * @returns whether a backend can be selected again
   */
  private async changeVersion(): Promise<boolean> {
    const { streamVersion, backends, route } = this.options;
    if (!streamVersion.canChange || this.sentTo.size >= route.route.maxAttempts) return false;
    const other = this.placeAmong(backends.serving(this.service));
    if (!other) return false;
    try {
      await streamVersion.changeTo(other.backend);
      return true;
    } catch {
      return false;
    }
  }

  /** Backends that accept new calls and can continue the stream, if it has begun. */
  private get candidates(): readonly BackendState[] {
    const { backends, streamVersion } = this.options;
    return backends.serving(this.service, streamVersion.version);
  }

  private async sendTo({ backend, missingTokens }: PlacementDecision): Promise<SendResult> {
    const connection = backend.connections.acquire();
    if (!connection) return { kind: 'not-sent', cause: 'no connection available' };
    const { description } = this.options.exchange;
    const measurement = new SendMeasurement(backend, description, missingTokens);
    const attempt = this.createAttempt(backend, connection, measurement);
    this.model = backend.model;
    this.attempt = attempt;
    this.backend = backend;
    this.options.exchange.noteBackend?.(backend.record.id);
    this.sentAt = measurement.sentAt;
    const timer = this.startResponseTimer(attempt, measurement);
    const result = await attempt.run();
    clearTimeout(timer);
    this.wasPaused ||= attempt.wasPaused;
    this.sends.push(measurement.end(this.describeEnd(attempt, result)));
    this.attempt = undefined;
    return result;
  }

  private describeEnd({ headAt, wasPaused }: SendAttempt, result: SendResult): SendEnd {
    const { response, isErrorAnswer, isTruncated } = this;
    const isFirst = this.sends.length === 0;
    const events = response instanceof StreamRelay ? response.events : 0;
    return { result, isFirst, headAt, wasPaused, isErrorAnswer, isTruncated, events };
  }

  private createAttempt(
    backend: BackendState,
    connection: BackendConnection,
    measurement: SendMeasurement,
  ): SendAttempt {
    const { exchange, protocol, body } = this.options;
    const { description } = exchange;
    const request = protocol.encodeRequest(description, {
      backendName: backend.record.name,
      timeLeftMs: Math.max(1, Math.floor(this.options.deadlineMs - monotonicMs())),
      lastEventId: this.response instanceof StreamRelay ? this.response.lastEventId : undefined,
      tenant: this.options.tenant,
    });
    const sink = this.response;
    const onDataReceived = (): void => measurement.noteDataReceived();
    const attempt = new SendAttempt({
      protocol,
      connection,
      request,
      body,
      callId: description.id,
      sink,
      maxResponseBytes: this.options.responseLimits.maxResponseBytes,
      onDataReceived,
    });
    sink.onceReadable(() => attempt.resume());
    return attempt;
  }

  /** Aborts the attempt of a repeatable call early enough that a retry can meet the deadline. */
  private startResponseTimer(
    attempt: SendAttempt,
    measurement: SendMeasurement,
  ): NodeJS.Timeout | undefined {
    if (this.retries >= MAX_RETRIES) return undefined;
    const leftMs = this.options.deadlineMs - monotonicMs();
    const timeoutMs = responseTimeoutMs(this.options.route.route, leftMs);
    if (timeoutMs === undefined) return undefined;
    return setTimeout(() => {
      measurement.isGivenUp = attempt.headAt === undefined;
      attempt.abortUnlessStarted();
    }, timeoutMs);
  }

  /** @returns the outcome, or undefined if the call is to be sent again */
  private outcomeOf(backend: BackendState, result: SendResult): CallOutcome | undefined {
    switch (result.kind) {
      case 'complete':
        return this.outcomeOfComplete(backend);
      case 'not-sent':
        this.exclude(backend);
        backend.noteFailure();
        return undefined;
      case 'not-executed':
        this.exclude(backend);
        if (result.isOtherIncarnation) this.noteReplaced(backend);
        else this.sentTo.add(backend.id);
        return undefined;
      case 'stopped':
        if (result.wasSent) this.noteSent(backend);
        return this.stopOutcome() ?? { kind: 'abandoned' };
      case 'broken':
        this.noteSent(backend);
        // A single lost response is not a failure if the backend has sent other data since.
        if (!result.hadHead && !backend.hasSentDataSince(this.sentAt)) backend.noteFailure();
        return this.outcomeOfBroken(backend);
    }
  }

  private outcomeOfComplete(backend: BackendState): CallOutcome | undefined {
    this.noteSent(backend);
    if (this.isErrorAnswer) backend.noteErrorResponse();
    else backend.noteSuccess();
    return this.isTruncated ? this.outcomeOfBroken(backend) : { kind: 'answered' };
  }

  /** Whether the backend responded with a server error, whose latency is not representative. */
  private get isErrorAnswer(): boolean {
    return (this.response.status ?? 0) >= HTTP_SERVER_ERROR;
  }

  /** Whether the response ends within an event. */
  private get isTruncated(): boolean {
    return this.response instanceof StreamRelay && this.response.hasPartialEvent;
  }

  /** Whether the only attempt was complete, without an error or a pause by the caller. */
  private get isTypical(): boolean {
    const isError = (this.response.status ?? 0) >= HTTP_CLIENT_ERROR;
    const isComplete = this.completeSend !== undefined && !this.isTruncated;
    return this.sends.length === 1 && isComplete && !isError && !this.wasPaused;
  }

  /** Retries after a broken response only if executing the call again is allowed. */
  private outcomeOfBroken(backend: BackendState): CallOutcome | undefined {
    const { kind, maxAttempts } = this.options.route.route;
    if (!this.canRetry || this.retries >= MAX_RETRIES) return this.brokenOutcome();
    this.retries += 1;
    this.wasResumed ||= this.response.hasBegun;
    this.response.restart();
    // A draining backend was promised no new calls when its draining was acknowledged.
    const isLeaving = !this.options.backends.serving(this.service).includes(backend);
    const mustSwitch = isLeaving || this.mayHaveRestarted(backend);
    const maySwitch = (kind === 'repeatable' || mustSwitch) && this.sentTo.size < maxAttempts;
    if (maySwitch && this.hasAlternative(backend)) this.excluded.add(backend.id);
    else if (mustSwitch) return this.brokenOutcome();
    else this.pinnedPlacement = { backend, missingTokens: 0 };
    return undefined;
  }

  /**
   * Whether a broken stream may reach a later start of its backend, with other software: a call names the backend, and
   * not the start, if the backend keeps its name.
   */
  private mayHaveRestarted({ record }: BackendState): boolean {
    return this.response.hasBegun && record.startedAt !== undefined;
  }

  private get canRetry(): boolean {
    if (this.response instanceof StreamRelay) return this.response.canResume;
    return this.options.route.route.kind === 'repeatable' && !this.response.hasBegun;
  }

  private hasAlternative(backend: BackendState): boolean {
    const { streamVersion, backends } = this.options;
    const candidates = streamVersion.canChange ? backends.serving(this.service) : this.candidates;
    return candidates.some((other) => other !== backend && !this.excluded.has(other.id));
  }

  private brokenOutcome(): CallOutcome {
    if (this.response.hasBegun) return { kind: 'broken-off' };
    return { kind: 'refused', reason: 'outcome-unknown' };
  }

  private outcomeWithoutBackend(): CallOutcome {
    if (this.mayHaveRun) return this.brokenOutcome();
    if (this.sentTo.size > 0) return { kind: 'refused', reason: 'not-executed' };
    return { kind: 'refused', reason: this.reasonWithoutBackend };
  }

  private get reasonWithoutBackend(): RefusalReason {
    if (this.candidates.length > 0) return 'overloaded';
    const hasOthers = this.options.backends.serving(this.service).length > 0;
    return hasOthers ? 'no-backend-of-version' : 'no-backend';
  }

  private stopOutcome(): CallOutcome | undefined {
    if (this.options.exchange.isAbandoned) return { kind: 'abandoned' };
    if (!this.isOverdue && !this.isInterrupted) return undefined;
    if (this.response.hasBegun) return { kind: 'broken-off' };
    if (this.isInterrupted)
      return { kind: 'refused', reason: this.mayHaveRun ? 'outcome-unknown' : 'shutting-down' };
    return {
      kind: 'refused',
      reason: this.mayHaveRun ? 'time-limit' : 'time-limit-before-start',
    };
  }

  /** The outcome if the call must not be sent, or not again. */
  private outcomeWithoutSend(): CallOutcome | undefined {
    return this.stopOutcome() ?? this.denialOutcome() ?? this.shutdownOutcome();
  }

  /** A call that may have run is sent again, if it may be: it may then still be answered. */
  private shutdownOutcome(): CallOutcome | undefined {
    const { fitsShutdown } = this.options;
    if (this.mayHaveRun || !fitsShutdown || fitsShutdown()) return undefined;
    return { kind: 'refused', reason: 'shutting-down' };
  }

  private denialOutcome(): CallOutcome | undefined {
    const reason = this.options.denial();
    if (reason === undefined) return undefined;
    return this.mayHaveRun ? this.brokenOutcome() : { kind: 'refused', reason };
  }

  private noteBegun(): void {
    if (this.backend) this.options.streamVersion.noteBegun(this.backend);
  }

  private exclude(backend: BackendState): void {
    this.excluded.add(backend.id);
    this.pinnedPlacement = undefined;
  }

  /** A backend that has ended does not count towards the limit of attempts. One that refuses connections may be alive. */
  private noteReplaced({ id }: BackendState): void {
    this.sentTo.delete(id);
    this.options.backends.drop(id);
  }

  private noteSent(backend: BackendState): void {
    this.sentTo.add(backend.id);
    this.mayHaveRun = true;
  }

  private onDeadline(): void {
    this.isOverdue = true;
    this.stopSending();
  }

  /** Stops the attempt in progress, or leaves the queue. */
  private stopSending(): void {
    if (this.attempt) this.attempt.stop();
    else if (this.sends.length === 0) this.permit?.end(false);
  }
}
