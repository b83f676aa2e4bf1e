/**
 * Timer for the start of an election. Postponing the deadline is cheap: the underlying timer is
 * rearmed only when it fires early.
 */
import { monotonicMs } from '../common/index.js';

/**
 * A timer that fires later than this has been held up by its process, in milliseconds; messages of a leader may then
 * wait in its sockets.
 */
const LATE_MS = 20;
/** Maximum extension of a deadline after such a delay, in milliseconds. */
const MAX_EXTENSION_MS = 1_000;

export class ElectionTimer {
  private deadline = Number.POSITIVE_INFINITY;
  /** Whether the deadline was extended already, so that a process that is always late still elects. */
  private wasExtended = false;
  private timer: NodeJS.Timeout | undefined;
  private armedFor = Number.POSITIVE_INFINITY;
  private isStopped = false;

  /** @param onDue called at the deadline; call `setIn` to set the next one */
  constructor(private readonly onDue: () => void) {}

  /** Sets the deadline, replacing the previous one. It is extended once if the process is held up until after it. */
  setIn(milliseconds: number): void {
    this.wasExtended = false;
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

  /** Leaves as much time for reading messages as the process was held up. */
  private extend(lateMs: number): void {
    this.wasExtended = true;
    this.deadline = monotonicMs() + Math.min(lateMs, MAX_EXTENSION_MS);
  }

  private onTimer(): void {
    this.armedFor = Number.POSITIVE_INFINITY;
    const lateMs = monotonicMs() - this.deadline;
    if (lateMs > LATE_MS && !this.wasExtended) this.extend(lateMs);
    if (this.deadline > monotonicMs()) {
      this.arm();
      return;
    }
    this.deadline = Number.POSITIVE_INFINITY;
    this.onDue();
  }
}
