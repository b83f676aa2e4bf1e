/**
 * Clocks. Leases and timeouts use the monotonic clock; wall-clock time is only displayed or stored in
 * records, and never compared between machines.
 */

/** Milliseconds on a clock that never goes backwards and is not comparable between machines. */
export function monotonicMs(): number {
  return performance.now();
}

/** Resolves after `milliseconds`, or at once when `signal` aborts. Never rejects. */
export function sleep(milliseconds: number, signal?: AbortSignal): Promise<void> {
  return new Promise((resolve) => {
    if (signal?.aborted) {
      resolve();
      return;
    }
    const finish = (): void => {
      clearTimeout(timer);
      signal?.removeEventListener('abort', finish);
      resolve();
    };
    const timer = setTimeout(finish, milliseconds);
    signal?.addEventListener('abort', finish, { once: true });
  });
}
