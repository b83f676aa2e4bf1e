/**
 * Spreads work that many wait for over turns of the event loop, so that timers and messages get
 * theirs in between.
 */

export class EventLoopThrottle {
  private readonly waiting: (() => void)[] = [];
  private isScheduled = false;

  /** @param perTurn how many go on in one turn of the event loop */
  constructor(private readonly perTurn: number) {}

  /** Resolves when it is the caller's turn, first come, first served. */
  next(): Promise<void> {
    return new Promise((resolve) => {
      this.waiting.push(resolve);
      this.schedule();
    });
  }

  private schedule(): void {
    if (this.isScheduled) return;
    this.isScheduled = true;
    setImmediate(() => {
      this.isScheduled = false;
      for (const goOn of this.waiting.splice(0, this.perTurn)) goOn();
      if (this.waiting.length > 0) this.schedule();
    });
  }
}
