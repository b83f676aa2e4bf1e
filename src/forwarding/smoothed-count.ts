/** A count that goes up and down, averaged over the latest moment. */
import { monotonicMs } from '../common/index.js';

/** Time constant of the mean, in milliseconds: a typical turn. */
const SMOOTHING_MS = 300;

export class SmoothedCount {
  private count = 0;
  private mean = 0;
  private settledAt: number;

  /** @param clock monotonic, in milliseconds */
  constructor(private readonly clock: () => number = monotonicMs) {
    this.settledAt = clock();
  }

  get value(): number {
    this.settle();
    return this.mean;
  }

  add(change: number): void {
    this.settle();
    this.count += change;
  }

  private settle(): void {
    const now = this.clock();
    const keptShare = Math.exp((this.settledAt - now) / SMOOTHING_MS);
    this.mean = this.count + (this.mean - this.count) * keptShare;
    this.settledAt = now;
  }
}
