/** Fraction of the active sessions of a service that have a call in flight, learned while no call waits. */
import { remainingAfter } from '../common/index.js';

const INITIAL_DUTY = 0.7;
const MIN_DUTY = 0.3;
const MAX_DUTY = 1;
/** Utilization below which calls do not wait for slots, which would raise the duty. */
const MAX_LEARNING_UTILIZATION = 0.8;
const HALF_LIFE_MS = 4_000;
/** Weight of the initial value, as time at full capacity, in milliseconds. */
const INITIAL_WEIGHT_MS = 200;
/** Maximum weight of one sample, for samples after a pause, in milliseconds. */
const MAX_SAMPLE_MS = 500;

export class DutyEstimate {
  /** Decayed sums over time of the sessions and the calls in flight. */
  private sessions = 0;
  private inFlight = 0;
  private sampledAt: number | undefined;

  get value(): number {
    if (this.sessions === 0) return INITIAL_DUTY;
    return Math.min(MAX_DUTY, Math.max(MIN_DUTY, this.inFlight / this.sessions));
  }

  learn(sessions: number, inFlight: number, capacity: number, now: number): void {
    const elapsedMs = Math.min(MAX_SAMPLE_MS, now - (this.sampledAt ?? now));
    this.sampledAt = now;
    if (this.sessions === 0) {
      this.sessions = capacity * INITIAL_WEIGHT_MS;
      this.inFlight = this.sessions * INITIAL_DUTY;
    }
    if (sessions === 0 || inFlight >= capacity * MAX_LEARNING_UTILIZATION) return;
    const kept = remainingAfter(elapsedMs, HALF_LIFE_MS);
    this.sessions = this.sessions * kept + sessions * elapsedMs;
    this.inFlight = this.inFlight * kept + inFlight * elapsedMs;
  }
}
