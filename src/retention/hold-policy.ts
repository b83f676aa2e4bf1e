/** Decides how long an engine is asked to keep a program's prefix cached after a call. */
import type { HoldPolicyName } from '../settings/index.js';

export interface HoldRequest {
  /** Tokens of the prefix to keep cached. */
  prefixTokens: number;
  /** Number of calls of the program so far. */
  callCount: number;
}

export interface HoldPolicyOptions {
  policy: HoldPolicyName;
  maxHoldMs: number;
  /** Weight of program latency relative to engine memory, from 0 to 1. */
  latencyWeight: number;
}

/** Weight of the latest sample in the moving averages. */
const SAMPLE_WEIGHT = 0.1;
const INITIAL_PAUSE_MS = 1_000;
/** Initial estimate of the fraction of programs that continue after a call. */
const INITIAL_CONTINUATION = 0.7;
/** Multiple of the average pause after which a program is unlikely to continue. */
const PAUSE_MULTIPLE = 6;
/** Probability of continuation below which a hold costs more than it saves. */
const MINIMUM_CONTINUATION = 0.25;

/** Sizes holds by the observed pauses of programs and the probability that they continue. */
export class HoldPolicy {
  private averagePauseMs = INITIAL_PAUSE_MS;
  private continuationProbability = INITIAL_CONTINUATION;

  constructor(private readonly options: HoldPolicyOptions) {}

  /** Records that a program continued after a pause. */
  noteContinued(pauseMs: number): void {
    this.averagePauseMs += SAMPLE_WEIGHT * (pauseMs - this.averagePauseMs);
    this.continuationProbability += SAMPLE_WEIGHT * (1 - this.continuationProbability);
  }

  /** Records that a program ended after its last call. */
  noteEnded(): void {
    this.continuationProbability -= SAMPLE_WEIGHT * this.continuationProbability;
  }

  holdMs(request: HoldRequest): number {
    const { policy, maxHoldMs, latencyWeight } = this.options;
    if (policy === 'never' || request.prefixTokens === 0) return 0;
    if (policy === 'always') return maxHoldMs;
    // Programs with more calls are more likely to continue.
    const probability = Math.min(1, this.continuationProbability + 0.05 * (request.callCount - 1));
    if (probability < MINIMUM_CONTINUATION * 2 * (1 - latencyWeight)) return 0;
    const holdMs = PAUSE_MULTIPLE * this.averagePauseMs * probability * 2 * latencyWeight;
    return Math.round(Math.min(maxHoldMs, holdMs));
  }
}
