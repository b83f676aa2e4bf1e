/** For how long an engine is asked to keep a program's prefix after a call. */
import type { HoldPolicyName } from '../settings/index.js';

export interface HoldRequest {
  /** Tokens of the prefix that would be kept. */
  prefixTokens: number;
  /** Calls that the program has made so far. */
  callCount: number;
}

export interface HoldPolicyOptions {
  policy: HoldPolicyName;
  maxHoldMs: number;
  /** Weight of program latency against engine memory, from 0 to 1. */
  latencyWeight: number;
}

/** Weight of the latest pause in the running average. */
const PAUSE_WEIGHT = 0.1;
const ASSUMED_FIRST_PAUSE_MS = 1_000;
/** Share of programs that go on after a call, assumed until seen. */
const ASSUMED_CONTINUATION = 0.7;
/** Multiples of the average pause after which a return has become unlikely. */
const PAUSE_MULTIPLE = 6;
/** Below this share of programs that go on, a hold costs more than it saves. */
const WORTHLESS_CONTINUATION = 0.25;

/** Learns how long programs pause and how often they go on, and sizes holds by it. */
export class HoldPolicy {
  private averagePauseMs = ASSUMED_FIRST_PAUSE_MS;
  private continuation = ASSUMED_CONTINUATION;

  constructor(private readonly options: HoldPolicyOptions) {}

  /** Notes that a program went on after a pause. */
  noteContinued(pauseMs: number): void {
    this.averagePauseMs += PAUSE_WEIGHT * (pauseMs - this.averagePauseMs);
    this.continuation += PAUSE_WEIGHT * (1 - this.continuation);
  }

  /** Notes that a program ended after its last call. */
  noteEnded(): void {
    this.continuation -= PAUSE_WEIGHT * this.continuation;
  }

  holdMs(request: HoldRequest): number {
    const { policy, maxHoldMs, latencyWeight } = this.options;
    if (policy === 'never' || request.prefixTokens === 0) return 0;
    if (policy === 'always') return maxHoldMs;
    // A program that went on before is likelier to go on again.
    const likely = Math.min(1, this.continuation + 0.05 * (request.callCount - 1));
    if (likely < WORTHLESS_CONTINUATION * 2 * (1 - latencyWeight)) return 0;
    const wanted = PAUSE_MULTIPLE * this.averagePauseMs * likely * 2 * latencyWeight;
    return Math.round(Math.min(maxHoldMs, wanted));
  }
}
