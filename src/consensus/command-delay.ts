/**
 * Delay of a leader's commands by load: their latency beyond that without load. It shows whatever they wait for, whether
 * the processor, the link or the disk, unlike the bytes or the number of commands in flight.
 */
import { RecentMinimum, monotonicMs } from '../common/index.js';

/** Time over which delays are averaged, in milliseconds: single slow batches must not count. */
const AVERAGING_MS = 300;
/** Period in which the latency without load is taken anew, in milliseconds. */
const IDLE_PERIOD_MS = 30_000;

export class CommandDelay {
  private readonly idleLatency = new RecentMinimum(IDLE_PERIOD_MS);
  private notedAt = monotonicMs();
  private averageMs = 0;

  /**
   * @param maxIdleMs bound of the latency without load, in milliseconds; the first commands of a leader that starts
   *   under load are all late
   */
  constructor(private readonly maxIdleMs: number) {}

  /** Mean recent delay, in milliseconds. */
  get meanMs(): number {
    return this.averageMs;
  }

  /** Records the latency of a completed command. */
  note(latencyMs: number): void {
    const now = monotonicMs();
    const idleMs = Math.min(this.maxIdleMs, this.idleLatency.add(latencyMs));
    const delayMs = latencyMs - idleMs;
    const weight = 1 - Math.exp((this.notedAt - now) / AVERAGING_MS);
    this.averageMs += (delayMs - this.averageMs) * weight;
    this.notedAt = now;
  }
}
