/** Keeps calls away from a back end that fails, and tries it again now and then. */
import { Backoff, monotonicMs } from '../common/index.js';

export interface CircuitBreakerOptions {
  /** Failures in a row that open the circuit. @default 3 */
  failureThreshold?: number;
  /** First time for which the circuit stays open, in milliseconds. @default 500 */
  initialOpenMs?: number;
  /** Longest time for which the circuit stays open, in milliseconds. @default 8000 */
  maximumOpenMs?: number;
}

const DEFAULT_FAILURE_THRESHOLD = 3;
const DEFAULT_INITIAL_OPEN_MS = 500;
const DEFAULT_MAXIMUM_OPEN_MS = 8_000;
const PROBE_MS = 4_000;

export class CircuitBreaker {
  private failures = 0;
  private openUntilMs = 0;
  private readonly backoff: Backoff;
  private readonly failureThreshold: number;

  constructor(options: CircuitBreakerOptions = {}) {
    this.failureThreshold = options.failureThreshold ?? DEFAULT_FAILURE_THRESHOLD;
    this.backoff = new Backoff({
      initialMs: options.initialOpenMs ?? DEFAULT_INITIAL_OPEN_MS,
      maximumMs: options.maximumOpenMs ?? DEFAULT_MAXIMUM_OPEN_MS,
    });
  }

  /** Whether a call may be sent now; after the open time, one at a time. */
  get allows(): boolean {
    if (this.failures < this.failureThreshold) return true;
    return monotonicMs() >= this.openUntilMs;
  }

  /** Call when a call is sent. */
  noteSent(): void {
    // The one call that is let through has this long to succeed before another is.
    if (this.failures >= this.failureThreshold) this.openUntilMs = monotonicMs() + PROBE_MS;
  }

  noteSuccess(): void {
    this.failures = 0;
    this.backoff.reset();
  }

  noteFailure(): void {
    this.failures += 1;
    if (this.failures >= this.failureThreshold) {
      this.openUntilMs = monotonicMs() + this.backoff.nextDelayMs();
    }
  }
}
