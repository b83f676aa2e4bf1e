/** Tells of many changes in few messages: the first at once, those that follow closely together. */
import { monotonicMs } from '../common/index.js';

export class NewsPacer {
  private toldAt = Number.NEGATIVE_INFINITY;
  private timer: NodeJS.Timeout | undefined;

  /**
   * @param intervalMs shortest time between two tellings, in milliseconds
   * @param tell called when what has been noted is to be told
   */
  constructor(
    private readonly intervalMs: number,
    private readonly tell: () => void,
  ) {}

  /** There is something to tell. */
  note(): void {
    if (this.timer) return;
    const waitMs = this.toldAt + this.intervalMs - monotonicMs();
    if (waitMs <= 0) this.tellNow();
    else this.timer = setTimeout(() => this.tellNow(), waitMs);
  }

  /** For what must not wait. */
  tellNow(): void {
    this.stop();
    this.toldAt = monotonicMs();
    this.tell();
  }

  stop(): void {
    clearTimeout(this.timer);
    this.timer = undefined;
  }
}
