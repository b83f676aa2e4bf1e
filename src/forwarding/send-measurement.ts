/** Accounts for one send of a call at its backend while it lasts, and measures it for all that learns from sends. */
import type { AttemptEnd } from '../backend-statistics/index.js';
import { monotonicMs } from '../common/index.js';
import type { BackendState } from './backend-view.js';
import { type CallDescription, promptTokensOf } from './call-exchange.js';
import { estimatedMsAt } from './placement.js';
import type { BrokenReason, SendResult } from './send-attempt.js';

/** One send, for the log. */
export interface SendRecord {
  backend: string;
  /** Software version of the backend, if it reports one. */
  softwareVersion?: string;
  result: SendResult['kind'];
  cause?: string;
  /** Only if the response was missing or incomplete. */
  brokenReason?: BrokenReason | 'truncated';
  /** Calls in flight from this gateway and from others when it was sent. */
  ownLoad: number;
  otherLoad: number;
  /** Estimated uncached prompt tokens. */
  missingTokens: number;
  /** Time until the response head, in milliseconds. */
  headMs?: number;
  /** Duration of the send, in milliseconds. */
  tookMs: number;
  /** Duration predicted by the service's latency model, in milliseconds. */
  expectedMs?: number;
  /** Shared slowdown factor of the backend, if it is not 1. */
  slowdown?: number;
}

/** How a send ended. */
export interface SendEnd {
  result: SendResult;
  /** Whether it was the call's first send. */
  isFirst: boolean;
  /** Arrival of the response head (monotonic, milliseconds), if it arrived. */
  headAt: number | undefined;
  /** Whether reading was paused for the caller. */
  wasPaused: boolean;
  /** Whether the response is a server error. */
  isErrorAnswer: boolean;
  /** Whether the response ends within an event. */
  isTruncated: boolean;
  /** Events of the response. */
  events: number;
}

/** What was known of a backend when a send began. */
type SendEstimate = Pick<AttemptEnd, 'estimatedMs' | 'slowdown'>;

export class SendMeasurement {
  /** Monotonic, in milliseconds. */
  readonly sentAt: number;
  /** Whether the send was aborted because no response had begun in time. */
  isGivenUp = false;
  /** When data was last received, or the call was sent (monotonic, milliseconds). */
  private activeAt: number;
  private readonly ownLoad: number;
  private readonly otherLoad: number;
  /** Tokens of the prompt and of the longest possible answer. */
  private readonly tokens: number;
  private readonly estimate: SendEstimate | undefined;

  /** Begins the call at the backend; `end` must be called when it has ended. */
  constructor(
    private readonly backend: BackendState,
    call: CallDescription,
    private readonly missingTokens: number,
  ) {
    const { promptParts, mostTokens } = call;
    this.ownLoad = backend.inFlight;
    this.otherLoad = backend.otherInFlight;
    this.tokens = promptTokensOf(promptParts) + mostTokens;
    this.estimate = estimateAt(backend, call, missingTokens);
    backend.beginCall(promptParts);
    backend.tokensInFlight += this.tokens;
    this.sentAt = monotonicMs();
    this.activeAt = this.sentAt;
  }

  noteDataReceived(): void {
    this.activeAt = monotonicMs();
    this.backend.noteDataReceived();
  }

  end(end: SendEnd): SendRecord {
    const { backend, sentAt, ownLoad, otherLoad, missingTokens, estimate } = this;
    const { result, headAt } = end;
    backend.endCall();
    backend.tokensInFlight -= this.tokens;
    const now = monotonicMs();
    const tookMs = now - sentAt;
    if (estimate) this.reportToStatistics(end, estimate, now);
    return {
      backend: backend.id,
      softwareVersion: backend.softwareVersion,
      result: result.kind,
      cause: 'cause' in result ? result.cause : undefined,
      brokenReason: brokenReasonOf(end),
      ownLoad,
      otherLoad,
      missingTokens,
      headMs: headAt === undefined ? undefined : headAt - sentAt,
      tookMs,
      expectedMs: this.noteDuration(end, tookMs),
      slowdown: estimate?.slowdown === 1 ? undefined : estimate?.slowdown,
    };
  }

  /**
   * Feeds the duration of a complete response to the latency model and the slowdown estimator.
   * @returns the predicted duration
   */
  private noteDuration(end: SendEnd, tookMs: number): number | undefined {
    const isTypical = end.result.kind === 'complete' && !end.isErrorAnswer;
    if (!isTypical || !end.isFirst) return undefined;
    const load = this.ownLoad + this.otherLoad;
    const work = { missingTokens: this.missingTokens, load, events: end.events };
    return this.backend.noteDuration(work, tookMs, end.wasPaused);
  }

  private reportToStatistics(
    { result, isErrorAnswer, isTruncated, wasPaused }: SendEnd,
    estimate: SendEstimate,
    now: number,
  ): void {
    this.backend.statistics?.noteAttempt(this.backend.id, {
      kind: result.kind,
      isFaulty: isErrorAnswer || isTruncated,
      isGivenUp: this.isGivenUp,
      wasPaused,
      tookMs: now - this.sentAt,
      silentMs: now - this.activeAt,
      ...estimate,
    });
  }
}

function brokenReasonOf({ result, isTruncated }: SendEnd): SendRecord['brokenReason'] {
  if (result.kind === 'broken') return result.reason;
  return result.kind === 'complete' && isTruncated ? 'truncated' : undefined;
}

/** Estimate for the shared statistics, which ignore sends that begin in independent mode. */
function estimateAt(
  backend: BackendState,
  call: CallDescription,
  missingTokens: number,
): SendEstimate | undefined {
  if (!backend.statistics?.isActive) return undefined;
  return {
    estimatedMs: estimatedMsAt(backend, call, missingTokens),
    slowdown: backend.sharedSlowdown,
  };
}
