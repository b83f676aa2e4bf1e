/** Circuit breaker: stops sending calls to a failing backend and probes it after a backoff. */
import { Backoff, monotonicMs } from '../common/index.js';

export interface CircuitBreakerOptions {
  /** Consecutive failures that open the circuit. @default 3 */
  failureThreshold?: number;
  /** Initial time for which the circuit stays open, in milliseconds. @default 500 */
  initialOpenMs?: number;
  /** Maximum time for which the circuit stays open, in milliseconds. @default 8000 */
  maximumOpenMs?: number;
}

const DEFAULT_FAILURE_THRESHOLD = 3;
const DEFAULT_INITIAL_OPEN_MS = 500;
const DEFAULT_MAXIMUM_OPEN_MS = 8_000;
const PROBE_TIMEOUT_MS = 4_000;

export class CircuitBreaker {
  private consecutiveFailures = 0;
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

  /** Whether a call may be sent now; once the open time is over, only one probe at a time. */
  get allows(): boolean {
    if (this.consecutiveFailures < this.failureThreshold) return true;
    return monotonicMs() >= this.openUntilMs;
  }

  /** Must be called whenever a call is sent. */
  noteSent(): void {
    // The probe has this long to succeed before the next one is allowed.
    if (this.consecutiveFailures >= this.failureThreshold)
      this.openUntilMs = monotonicMs() + PROBE_TIMEOUT_MS;
  }

  noteSuccess(): void {
    this.consecutiveFailures = 0;
    this.backoff.reset();
  }

  noteFailure(): void {
    this.consecutiveFailures += 1;
    if (this.consecutiveFailures >= this.failureThreshold) {
      this.openUntilMs = monotonicMs() + this.backoff.nextDelayMs();
    }
  }
}
