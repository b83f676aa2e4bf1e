/** Delay of the ledger's commands as a gateway knows it, from the leader's responses. */
import { monotonicMs } from '../common/index.js';

/**
 * Age at which the reported delay counts half as much, in milliseconds. A gateway that refuses all its programs gets no
 * responses, and must find out that the leader has recovered.
 */
const HALF_LIFE_MS = 500;

export class LeaderDelay {
  private reportedMs = 0;
  private reportedAt = monotonicMs();

  /** Mean delay of a command, in milliseconds; 0 if it is not known. */
  get currentMs(): number {
    const ageMs = monotonicMs() - this.reportedAt;
    return this.reportedMs * 0.5 ** (ageMs / HALF_LIFE_MS);
  }

  note(delayMs: number): void {
    this.reportedMs = delayMs;
    this.reportedAt = monotonicMs();
  }
}
