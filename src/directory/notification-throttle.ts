/** Tells of many changes in few messages: the first at once, those that follow closely together. */
import { monotonicMs } from '../common/index.js';

export class NotificationThrottle {
  private toldAt = Number.NEGATIVE_INFINITY;
  private timer: NodeJS.Timeout | undefined;

  /**
   * @param intervalMs shortest time between two tellings, in milliseconds
   * @param notify called when what has been noted is to be told
   */
  constructor(
    private readonly intervalMs: number,
    private readonly notify: () => void,
  ) {}

  /** There is something to tell. */
  schedule(): void {
    if (this.timer) return;
    const waitMs = this.toldAt + this.intervalMs - monotonicMs();
    if (waitMs <= 0) this.flush();
    else this.timer = setTimeout(() => this.flush(), waitMs);
  }

  /** For what must not wait. */
  flush(): void {
    this.stop();
    this.toldAt = monotonicMs();
    this.notify();
  }

  stop(): void {
    clearTimeout(this.timer);
    this.timer = undefined;
  }
}
