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

  /** The peer answered in time. */
  reset(): void {
    this.limitMs = this.options.baseMs;
  }
}
