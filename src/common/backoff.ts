/** Exponential backoff with full jitter. */
export interface BackoffOptions {
  /** Upper bound of the first wait, in milliseconds. @default 50 */
  initialMs?: number;
  /** Upper bound of any wait, in milliseconds. @default 1000 */
  maximumMs?: number;
}

const DEFAULT_INITIAL_MS = 50;
const DEFAULT_MAXIMUM_MS = 1_000;

/** Counts failures in a row and yields the wait before the next try. */
export class Backoff {
  private failures = 0;
  private readonly initialMs: number;
  private readonly maximumMs: number;

  constructor(options: BackoffOptions = {}) {
    this.initialMs = options.initialMs ?? DEFAULT_INITIAL_MS;
    this.maximumMs = options.maximumMs ?? DEFAULT_MAXIMUM_MS;
  }

  /** The wait before the next try, in milliseconds: between half the bound and the bound. */
  nextDelayMs(): number {
    const bound = Math.min(this.maximumMs, this.initialMs * 2 ** this.failures);
    this.failures += 1;
    return bound * (0.5 + Math.random() / 2);
  }

  /** Call after a success. */
  reset(): void {
    this.failures = 0;
  }
}
