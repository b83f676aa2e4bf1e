/** Minimum of the values of the last one to two periods, so that an old minimum expires. */
import { monotonicMs } from './clock.js';

export class RecentMinimum {
  private current = Number.POSITIVE_INFINITY;
  private previous = Number.POSITIVE_INFINITY;
  private startedAt = monotonicMs();

  /** @param periodMs length of a period, in milliseconds */
  constructor(private readonly periodMs: number) {}

  /** Adds a value. @returns the minimum, including this value */
  add(value: number): number {
    const now = monotonicMs();
    if (now - this.startedAt >= this.periodMs) {
      this.previous = this.current;
      this.current = Number.POSITIVE_INFINITY;
      this.startedAt = now;
    }
    this.current = Math.min(this.current, value);
    return Math.min(this.current, this.previous);
  }
}
