/** Exponential backoff with jitter. */
export interface BackoffOptions {
  /** Upper bound of the first delay, in milliseconds. @default 50 */
  initialMs?: number;
  /** Upper bound of any delay, in milliseconds. @default 1000 */
  maximumMs?: number;
}

const DEFAULT_INITIAL_MS = 50;
const DEFAULT_MAXIMUM_MS = 1_000;

/** Counts consecutive failures and returns the delay before the next attempt. */
export class Backoff {
  private failures = 0;
  private readonly initialMs: number;
  private readonly maximumMs: number;

  constructor(options: BackoffOptions = {}) {
    this.initialMs = options.initialMs ?? DEFAULT_INITIAL_MS;
    this.maximumMs = options.maximumMs ?? DEFAULT_MAXIMUM_MS;
  }

  /** Returns a random delay between half the current bound and the bound. */
  nextDelayMs(): number {
    const bound = Math.min(this.maximumMs, this.initialMs * 2 ** this.failures);
    this.failures += 1;
    return bound * (0.5 + Math.random() / 2);
  }

  /** Must be called after a success. */
  reset(): void {
    this.failures = 0;
  }
}
