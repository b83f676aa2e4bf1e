/**
 * Requests of one connection that wait for their responses. One timer serves the limits of all of them: most requests are
 * answered long before a limit, and a timer for each would be set and cleared for nothing.
 */
import { Deferred, monotonicMs } from '../common/index.js';

/** Limits of one request. */
export interface CallOptions {
  /** Timeout of the response, in milliseconds. */
  timeoutMs: number;
  /**
   * Time without data from the peer after which the connection is suspect, in milliseconds. The
   * call continues. @default timeoutMs
   */
  silenceMs?: number;
}

export interface PendingCall {
  deferred: Deferred<unknown>;
  method: string;
  /** A response until then is in time (monotonic, milliseconds). */
  responseDueAt: number;
}

interface TimedCall extends PendingCall {
  timeoutAt: number;
  /** Time of the check for silence; `Infinity` once it is done. */
  silenceCheckAt: number;
}

export interface PendingCallsOptions {
  /** Called with a request that reached its timeout, after it was removed. */
  onTimeout: (call: PendingCall) => void;
  /** Called when a request has reached a limit, so that the peer's silence is to be checked. */
  onOverdue: () => void;
}

export class PendingCalls {
  private nextId = 1;
  private readonly calls = new Map<number, TimedCall>();
  private timer: NodeJS.Timeout | undefined;
  private timerDueAt = Infinity;

  constructor(private readonly options: PendingCallsOptions) {}

  /** @returns the id of the request */
  add(deferred: Deferred<unknown>, method: string, { timeoutMs, silenceMs }: CallOptions): number {
    const id = this.nextId++;
    const now = monotonicMs();
    const timeoutAt = now + timeoutMs;
    const silenceCheckAt = silenceMs === undefined ? Infinity : now + silenceMs;
    const responseDueAt = Math.min(timeoutAt, silenceCheckAt);
    this.calls.set(id, { deferred, method, responseDueAt, timeoutAt, silenceCheckAt });
    this.checkAt(responseDueAt, now);
    return id;
  }

  /** Removes and returns a request; undefined if it is not pending. */
  take(id: number): PendingCall | undefined {
    const call = this.calls.get(id);
    if (call) this.calls.delete(id);
    return call;
  }

  /** Removes and returns all requests, and stops the timer. */
  takeAll(): PendingCall[] {
    clearTimeout(this.timer);
    this.timerDueAt = Infinity;
    const calls = [...this.calls.values()];
    this.calls.clear();
    return calls;
  }

  private checkAt(dueAt: number, now: number): void {
    if (dueAt >= this.timerDueAt) return;
    clearTimeout(this.timer);
    this.timerDueAt = dueAt;
    this.timer = setTimeout(() => this.checkAfterReads(), Math.max(1, Math.ceil(dueAt - now)));
  }

  /**
   * After a stall of the process, timers run before sockets are read. The check is deferred so that
   * received responses are processed first.
   */
  private checkAfterReads(): void {
    setImmediate(() => this.check());
  }

  private check(): void {
    const now = monotonicMs();
    this.timerDueAt = Infinity;
    let isOverdue = false;
    let nextDueAt = Infinity;
    for (const [id, call] of this.calls) {
      if (Math.min(call.timeoutAt, call.silenceCheckAt) <= now) isOverdue = true;
      if (call.timeoutAt <= now) {
        this.calls.delete(id);
        this.options.onTimeout(call);
        continue;
      }
      if (call.silenceCheckAt <= now) call.silenceCheckAt = Infinity;
      nextDueAt = Math.min(nextDueAt, call.timeoutAt, call.silenceCheckAt);
    }
    if (nextDueAt !== Infinity) this.checkAt(nextDueAt, now);
    if (isOverdue) this.options.onOverdue();
  }
}
