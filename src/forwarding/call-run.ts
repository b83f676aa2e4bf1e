/** One forwarded call from its placement to its final answer, written straight down. */
import { monotonicMs } from '../common/index.js';
import type { CompiledRoute } from '../routes/index.js';
import type { CallWork, LatencyModel } from '../performance/index.js';
import type { BackendConnection } from './backend-connections.js';
import type { BackendProtocol } from './backend-protocol.js';
import type { BackendState, BackendView } from './backend-view.js';
import { BufferedResponse } from './buffered-answer.js';
import type { CallExchange, RefusalReason } from './call-exchange.js';
import type { PlacementDecision, Placement } from './placement.js';
import { SendAttempt, type SendResult } from './send-attempt.js';
import { StreamRelay } from './stream-relay.js';

/** How a call ended. */
export type CallOutcome =
  | { kind: 'answered' }
  | { kind: 'refused'; reason: RefusalReason }
  | { kind: 'broken-off' }
  | { kind: 'abandoned' };

export interface CallRunOptions {
  exchange: CallExchange;
  route: CompiledRoute;
  /** The service that the call goes to. */
  service: string;
  /** The whole body to send, with the history of earlier turns where there is one. */
  body: Buffer;
  /** Monotonic time by which the call must have its final answer, in milliseconds. */
  deadlineMs: number;
  backends: BackendView;
  placement: Placement;
  /** Id of the back end that most likely holds the prompt of the turns before, if that is known. */
  promptHolder?: string;
  /** Name of the tenant that the call belongs to. */
  tenant?: string;
  /** Why the caller may not be served any more, asked right before each send. */
  denial: () => RefusalReason | undefined;
  protocol: BackendProtocol;
}

/** One send, for the log. */
export interface SendRecord {
  backend: string;
  result: SendResult['kind'];
  cause?: string;
  /** Calls of this gateway, and of the others, that ran there when it was sent. */
  ownLoad: number;
  otherLoad: number;
  /** Prompt tokens that it was expected to read. */
  missingTokens: number;
  /** From the send to the head of the answer, in milliseconds. */
  headMs?: number;
  /** From the send to its end, in milliseconds. */
  tookMs: number;
  /** What a whole answer should have taken by the service's model, in milliseconds. */
  expectedMs?: number;
}

const HTTP_SERVER_ERROR = 500;
/** A call is sent again after broken answers so often at most. */
const MAX_RESENDS = 2;
/** A repeatable call is sent again after a silence of so many times its route's objective. */
const SILENT_OBJECTIVES = 3;
/** Share of the time left that such a silence may take. */
const SILENT_TIME_SHARE = 0.4;

export class CallRun {
  readonly sends: SendRecord[] = [];
  readonly response: StreamRelay | BufferedResponse;
  private readonly service: string;
  private readonly excluded = new Set<string>();
  /** Back ends that may have received the call. */
  private readonly sentTo = new Set<string>();
  private stayWith: PlacementDecision | undefined;
  private attempt: SendAttempt | undefined;
  /** How long calls of the service take, once the call was sent. */
  private model: LatencyModel | undefined;
  private resends = 0;
  /** When the latest send began (monotonic, milliseconds). */
  private sentAt = 0;
  private mayHaveRun = false;
  private isOverdue = false;

  constructor(private readonly options: CallRunOptions) {
    const { exchange, route } = options;
    this.service = options.service;
    const { kind, retainsTurns: collectsOutput, isResumable } = route.route;
    this.response =
      kind === 'streaming'
        ? new StreamRelay({ exchange, collectsOutput, isResumable })
        : new BufferedResponse(exchange);
  }

  /** Id of the back end whose whole answer was passed on. */
  get answeredBy(): string | undefined {
    const last = this.sends.at(-1);
    return last?.result === 'complete' ? last.backend : undefined;
  }

  /** Whether a back end may have run the call. */
  get hasRun(): boolean {
    return this.mayHaveRun;
  }

  get serviceName(): string {
    return this.service;
  }

  /** What the call would take on back ends with nothing else to do, in milliseconds, once it was sent. */
  get unloadedMs(): number | undefined {
    const { promptParts } = this.options.exchange.description;
    const events = this.response instanceof StreamRelay ? this.response.events : 0;
    return this.model?.predictUnloadedMs({
      missingTokens: promptParts.at(-1)?.tokens ?? 0,
      events,
    });
  }

  /** Sends the call until it is answered or nothing more may be tried. Does not end the answer. */
  async run(): Promise<CallOutcome> {
    const { exchange, deadlineMs } = this.options;
    const timer = setTimeout(() => this.onDeadline(), Math.max(0, deadlineMs - monotonicMs()));
    exchange.onAbandoned(() => this.attempt?.stop());
    try {
      return await this.sendUntilAnswered();
    } finally {
      clearTimeout(timer);
    }
  }

  private async sendUntilAnswered(): Promise<CallOutcome> {
    for (;;) {
      const stopped = this.endingOfStop() ?? this.endingOfDenial();
      if (stopped) return stopped;
      const choice = this.nextBackend();
      if (!choice) return this.endingWithoutBackend();
      const result = await this.sendTo(choice);
      const ending = this.judge(choice.backend, result);
      if (ending) return ending;
    }
  }

  private nextBackend(): PlacementDecision | undefined {
    if (this.stayWith) return this.stayWith;
    if (this.sentTo.size >= this.options.route.route.maxAttempts) return undefined;
    const candidates = this.options.backends.serving(this.service);
    return this.options.placement.choose(candidates, {
      call: this.options.exchange.description,
      excluded: this.excluded,
      promptHolder: this.options.promptHolder,
    });
  }

  private async sendTo({ backend, missingTokens }: PlacementDecision): Promise<SendResult> {
    const connection = backend.connections.acquire();
    if (!connection) return { kind: 'not-sent', cause: 'no connection left' };
    const attempt = this.createAttempt(backend, connection);
    this.model = backend.model;
    this.attempt = attempt;
    const { inFlight: ownLoad, otherInFlight: otherLoad } = backend;
    const { promptParts } = this.options.exchange.description;
    backend.beginCall(promptParts);
    this.sentAt = monotonicMs();
    const timer = this.watchForSilence(attempt);
    const result = await attempt.run();
    clearTimeout(timer);
    backend.endCall();
    this.attempt = undefined;
    const tookMs = monotonicMs() - this.sentAt;
    const load = ownLoad + otherLoad;
    this.sends.push({
      backend: backend.id,
      result: result.kind,
      cause: 'cause' in result ? result.cause : undefined,
      ownLoad,
      otherLoad,
      missingTokens,
      headMs: attempt.headAt === undefined ? undefined : attempt.headAt - this.sentAt,
      tookMs,
      expectedMs: this.noteDuration(backend, result, { missingTokens, load, tookMs }),
    });
    return result;
  }

  private createAttempt(backend: BackendState, connection: BackendConnection): SendAttempt {
    const { exchange, protocol, body } = this.options;
    const { description } = exchange;
    const request = protocol.encodeRequest(description, {
      backendName: backend.record.name,
      timeLeftMs: Math.max(1, Math.floor(this.options.deadlineMs - monotonicMs())),
      lastEventId: this.response instanceof StreamRelay ? this.response.lastEventId : undefined,
      tenant: this.options.tenant,
    });
    const callId = description.id;
    const sink = this.response;
    const onDataReceived = (): void => backend.noteDataReceived();
    const attempt = new SendAttempt({
      protocol,
      connection,
      request,
      body,
      callId,
      sink,
      onDataReceived,
    });
    sink.onceReadable(() => attempt.resume());
    return attempt;
  }

  /**
   * Tells the service's model and the back end's pace how long a whole answer took.
   * @returns what the model had expected
   */
  private noteDuration(
    backend: BackendState,
    result: SendResult,
    { missingTokens, load, tookMs }: { missingTokens: number; load: number; tookMs: number },
  ): number | undefined {
    const isTypical = result.kind === 'complete' && !this.isErrorAnswer;
    if (!isTypical || this.sends.length > 0) return undefined;
    const events = this.response instanceof StreamRelay ? this.response.events : 0;
    const work: CallWork = { missingTokens, load, events };
    const expectedMs = backend.model.predictMs(work);
    backend.model.observe(work, tookMs / backend.slowdown.factor, backend.capacity);
    backend.slowdown.note(tookMs, expectedMs);
    return expectedMs;
  }

  /** The answer of a call that may be repeated is not waited for until the caller gives up. */
  private watchForSilence(attempt: SendAttempt): NodeJS.Timeout | undefined {
    const { kind, objectiveMs } = this.options.route.route;
    if (kind !== 'repeatable' || this.resends >= MAX_RESENDS) return undefined;
    const leftMs = this.options.deadlineMs - monotonicMs();
    const silenceMs = Math.min(objectiveMs * SILENT_OBJECTIVES, leftMs * SILENT_TIME_SHARE);
    return setTimeout(() => attempt.abortUnlessStarted(), silenceMs);
  }

  /** @returns the ending, or nothing when the call is to be sent once more */
  private judge(backend: BackendState, result: SendResult): CallOutcome | undefined {
    switch (result.kind) {
      case 'complete':
        return this.judgeComplete(backend);
      case 'not-sent':
        this.leave(backend);
        backend.noteFailure();
        return undefined;
      case 'not-executed':
        this.leave(backend);
        if (result.isOtherIncarnation) this.options.backends.drop(backend.id);
        else this.sentTo.add(backend.id);
        return undefined;
      case 'stopped':
        if (result.wasSent) this.noteSent(backend);
        return this.endingOfStop() ?? { kind: 'abandoned' };
      case 'broken':
        this.noteSent(backend);
        // One lost answer says little of a back end that answers others.
        if (!result.hadHead && !backend.hasSentDataSince(this.sentAt)) backend.noteFailure();
        return this.judgeBroken(backend);
    }
  }

  private judgeComplete(backend: BackendState): CallOutcome | undefined {
    this.noteSent(backend);
    if (this.isErrorAnswer) backend.noteErrorResponse();
    else backend.noteSuccess();
    const isCut = this.response instanceof StreamRelay && this.response.hasPartialEvent;
    return isCut ? this.judgeBroken(backend) : { kind: 'answered' };
  }

  /** Whether the back end's answer is a failure of its own, which tells nothing of how long calls take. */
  private get isErrorAnswer(): boolean {
    return (this.response.status ?? 0) >= HTTP_SERVER_ERROR;
  }

  /** After a broken answer the call goes on only where running it again is allowed. */
  private judgeBroken(backend: BackendState): CallOutcome | undefined {
    const { kind, maxAttempts } = this.options.route.route;
    if (!this.mayRepeat || this.resends >= MAX_RESENDS) return this.endingOfBroken();
    this.resends += 1;
    this.response.restart();
    // Resending to one that leaves would break what it was told when its leaving was acknowledged.
    const isLeaving = !this.options.backends.serving(this.service).includes(backend);
    const mayChange = (kind === 'repeatable' || isLeaving) && this.sentTo.size < maxAttempts;
    if (mayChange && this.hasOther(backend)) this.excluded.add(backend.id);
    else if (isLeaving) return this.endingOfBroken();
    else this.stayWith = { backend, missingTokens: 0 };
    return undefined;
  }

  private get mayRepeat(): boolean {
    if (this.response instanceof StreamRelay) return this.response.canResume;
    return this.options.route.route.kind === 'repeatable' && !this.response.hasBegun;
  }

  private hasOther(backend: BackendState): boolean {
    return this.options.backends
      .serving(this.service)
      .some((other) => other !== backend && !this.excluded.has(other.id));
  }

  private endingOfBroken(): CallOutcome {
    if (this.response.hasBegun) return { kind: 'broken-off' };
    return { kind: 'refused', reason: 'outcome-unknown' };
  }

  private endingWithoutBackend(): CallOutcome {
    if (this.mayHaveRun) return this.endingOfBroken();
    if (this.sentTo.size > 0) return { kind: 'refused', reason: 'not-executed' };
    const hasAny = this.options.backends.serving(this.service).length > 0;
    return { kind: 'refused', reason: hasAny ? 'overloaded' : 'no-backend' };
  }

  private endingOfStop(): CallOutcome | undefined {
    if (this.options.exchange.isAbandoned) return { kind: 'abandoned' };
    if (!this.isOverdue) return undefined;
    if (this.response.hasBegun) return { kind: 'broken-off' };
    return {
      kind: 'refused',
      reason: this.mayHaveRun ? 'time-limit' : 'time-limit-before-start',
    };
  }

  private endingOfDenial(): CallOutcome | undefined {
    const reason = this.options.denial();
    if (reason === undefined) return undefined;
    return this.mayHaveRun ? this.endingOfBroken() : { kind: 'refused', reason };
  }

  private leave(backend: BackendState): void {
    this.excluded.add(backend.id);
    this.stayWith = undefined;
    // A back end that is gone does not count among those that the call was sent to.
    this.sentTo.delete(backend.id);
  }

  private noteSent(backend: BackendState): void {
    this.sentTo.add(backend.id);
    this.mayHaveRun = true;
  }

  private onDeadline(): void {
    this.isOverdue = true;
    this.attempt?.stop();
  }
}
