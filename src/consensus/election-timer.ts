/**
 * The time at which a member may start an election. Putting it off costs nothing: the timer is armed
 * again only when it goes off too early.
 */
import { monotonicMs } from '../common/index.js';

export class ElectionTimer {
  private deadline = Number.POSITIVE_INFINITY;
  private timer: NodeJS.Timeout | undefined;
  private armedFor = Number.POSITIVE_INFINITY;
  private isStopped = false;

  /** @param onDue called at the deadline; the next one has to be set by `setIn` */
  constructor(private readonly onDue: () => void) {}

  /** Sets the deadline, whatever it was before. */
  setIn(milliseconds: number): void {
    this.deadline = monotonicMs() + milliseconds;
    if (this.armedFor > this.deadline) this.arm();
  }

  /** Sets the deadline unless an earlier one stands. */
  bringForwardTo(milliseconds: number): void {
    if (monotonicMs() + milliseconds < this.deadline) this.setIn(milliseconds);
  }

  stop(): void {
    this.isStopped = true;
    clearTimeout(this.timer);
  }

  private arm(): void {
    if (this.isStopped) return;
    clearTimeout(this.timer);
    this.armedFor = this.deadline;
    this.timer = setTimeout(() => this.onTimer(), Math.max(1, this.deadline - monotonicMs()));
  }

  private onTimer(): void {
    this.armedFor = Number.POSITIVE_INFINITY;
    if (this.deadline > monotonicMs()) {
      this.arm();
      return;
    }
    this.deadline = Number.POSITIVE_INFINITY;
    this.onDue();
  }
}
