import { Deferred } from './deferred.js';

/** An event that tasks wait for; each `notify` wakes all current waiters. */
export class SignalEvent {
  private pending = new Deferred<void>();

  notify(): void {
    const pending = this.pending;
    this.pending = new Deferred<void>();
    pending.resolve();
  }

  /** Resolves at the next `notify`. */
  wait(): Promise<void> {
    return this.pending.promise;
  }

  /** Resolves at the next `notify` or after `timeoutMs`, whichever comes first. */
  async waitWithTimeout(timeoutMs: number): Promise<void> {
    const { pending } = this;
    await new Promise<void>((resolve) => {
      const timer = setTimeout(resolve, timeoutMs);
      void pending.promise.then(() => {
        clearTimeout(timer);
        resolve();
      });
    });
  }
}
