import { Deferred } from './deferred.js';

/** An event that tasks wait for; each `notify` wakes all current waiters. */
export class SignalEvent {
  /** Created by the first waiter, since most notifications have none. */
  private pending: Deferred<void> | undefined;

  notify(): void {
    const { pending } = this;
    this.pending = undefined;
    pending?.resolve();
  }

  /** Resolves at the next `notify`. */
  wait(): Promise<void> {
    this.pending ??= new Deferred<void>();
    return this.pending.promise;
  }

  /** Resolves at the next `notify` or after `timeoutMs`, whichever comes first. */
  async waitWithTimeout(timeoutMs: number): Promise<void> {
    const notified = this.wait();
    await new Promise<void>((resolve) => {
      const timer = setTimeout(resolve, timeoutMs);
      void notified.then(() => {
        clearTimeout(timer);
        resolve();
      });
    });
  }
}
