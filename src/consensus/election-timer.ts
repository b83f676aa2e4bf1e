/**
 * Timer for the start of an election. Postponing the deadline is cheap: the underlying timer is
 * rearmed only when it fires early.
 */
import { monotonicMs } from '../common/index.js';

export class ElectionTimer {
  private deadline = Number.POSITIVE_INFINITY;
  private timer: NodeJS.Timeout | undefined;
  private armedFor = Number.POSITIVE_INFINITY;
  private isStopped = false;

  /** @param onDue called at the deadline; call `setIn` to set the next one */
  constructor(private readonly onDue: () => void) {}

  /** Sets the deadline, replacing the previous one. */
  setIn(milliseconds: number): void {
    this.deadline = monotonicMs() + milliseconds;
    if (this.armedFor > this.deadline) this.arm();
  }

  /** Moves the deadline forward; a deadline that is already earlier is kept. */
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
