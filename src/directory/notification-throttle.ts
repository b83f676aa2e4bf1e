/** Limits the rate of notifications: the first change notifies at once, later ones are coalesced. */
import { monotonicMs } from '../common/index.js';

export class NotificationThrottle {
  private notifiedAt = Number.NEGATIVE_INFINITY;
  private timer: NodeJS.Timeout | undefined;

  /**
   * @param intervalMs minimum time between scheduled notifications, in milliseconds
   * @param notify called for each notification
   */
  constructor(
    private readonly intervalMs: number,
    private readonly notify: () => void,
  ) {}

  /** Notifies now, or once the interval has passed. */
  schedule(): void {
    if (this.timer) return;
    const waitMs = this.notifiedAt + this.intervalMs - monotonicMs();
    if (waitMs <= 0) this.flush();
    else this.timer = setTimeout(() => this.flush(), waitMs);
  }

  /** Notifies immediately. */
  flush(): void {
    this.stop();
    this.notifiedAt = monotonicMs();
    this.notify();
  }

  stop(): void {
    clearTimeout(this.timer);
    this.timer = undefined;
  }
}
