import { Deferred } from './deferred.js';

/** An event on which tasks wait; each `notify` wakes all that wait at that moment. */
export class SignalEvent {
  private waiting = new Deferred<void>();

  notify(): void {
    const waiting = this.waiting;
    this.waiting = new Deferred<void>();
    waiting.resolve();
  }

  /** Resolves at the next `notify`. */
  wait(): Promise<void> {
    return this.waiting.promise;
  }

  /** Resolves at the next `notify` or after `timeoutMs`, whichever comes first. */
  async waitWithTimeout(timeoutMs: number): Promise<void> {
    const { waiting } = this;
    await new Promise<void>((resolve) => {
      const timer = setTimeout(resolve, timeoutMs);
      void waiting.promise.then(() => {
        clearTimeout(timer);
        resolve();
      });
    });
  }
}
