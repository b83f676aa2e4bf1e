/**
 * Spreads the continuations of many waiting callers over several turns of the event loop, so that
 * timers and I/O run in between.
 */

export class EventLoopThrottle {
  private readonly waiting: (() => void)[] = [];
  private isScheduled = false;

  /** @param perTurn number of callers that resume in one turn of the event loop */
  constructor(private readonly perTurn: number) {}

  /** Resolves when the caller may resume, in first-in, first-out order. */
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
      for (const resume of this.waiting.splice(0, this.perTurn)) resume();
      if (this.waiting.length > 0) this.schedule();
    });
  }
}
