/**
 * A time limit that follows how late a peer is. A fixed one is worth nothing against a peer that is
 * late by more: every answer comes after it, and each try in vain makes the peer later still.
 */
export interface AdaptiveTimeoutOptions {
  /** The limit while the peer answers in time, in milliseconds. */
  baseMs: number;
  /** The limit never grows beyond this, in milliseconds. */
  maximumMs: number;
}

/** How much later than the one before an answer may come, as a factor. */
const LATENESS_MARGIN = 1.25;

export class AdaptiveTimeout {
  private limitMs: number;

  constructor(private readonly options: AdaptiveTimeoutOptions) {
    this.limitMs = options.baseMs;
  }

  get currentMs(): number {
    return this.limitMs;
  }

  /** The limit ran out: the next one is twice as long. */
  noteExpired(): void {
    this.limitMs = Math.min(this.options.maximumMs, this.limitMs * 2);
  }

  /** The peer did answer, that late: the next limit lets an answer that is a little later still through. */
  noteLate(afterMs: number): void {
    const enoughMs = Math.max(this.limitMs, afterMs * LATENESS_MARGIN);
    this.limitMs = Math.min(this.options.maximumMs, enoughMs);
  }

  /** The peer answered in time. */
  reset(): void {
    this.limitMs = this.options.baseMs;
  }
}
