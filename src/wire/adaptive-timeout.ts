/**
 * A timeout that adapts to the delay of a peer. With a fixed one, every response of a slower peer
 * would arrive too late, and each retry would slow the peer down further.
 */
export interface AdaptiveTimeoutOptions {
  /** Timeout while the peer responds in time, in milliseconds. */
  baseMs: number;
  /** Upper bound of the timeout, in milliseconds. */
  maximumMs: number;
}

/** Factor by which the timeout exceeds the last late response. */
const LATENESS_MARGIN = 1.25;

export class AdaptiveTimeout {
  private limitMs: number;

  constructor(private readonly options: AdaptiveTimeoutOptions) {
    this.limitMs = options.baseMs;
  }

  get currentMs(): number {
    return this.limitMs;
  }

  /** Doubles the timeout after it expired. */
  noteExpired(): void {
    this.limitMs = Math.min(this.options.maximumMs, this.limitMs * 2);
  }

  /** Extends the timeout after a late response. */
  noteLate(afterMs: number): void {
    const enoughMs = Math.max(this.limitMs, afterMs * LATENESS_MARGIN);
    this.limitMs = Math.min(this.options.maximumMs, enoughMs);
  }

  /** Resets the timeout after a response in time. */
  reset(): void {
    this.limitMs = this.options.baseMs;
  }
}
