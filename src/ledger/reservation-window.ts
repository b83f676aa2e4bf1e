/**
 * Limits the reservations of one gateway that are in flight at the ledger. The window shrinks while the
 * ledger responds slowly and admits a single request while it is silent, so that a new leader is not
 * overloaded by queued requests. It grows again with each fast response.
 */
import { Deferred } from '../common/index.js';

/** Window size while the ledger responds quickly; more than a busy gateway needs. */
const MAX_WINDOW = 16;
/** Window size that the window shrinks towards while the ledger responds slowly. */
const SLOW_WINDOW = 4;
/** Response time from which the ledger counts as slow, in milliseconds: a tenth of the time a turn of 1 s may wait. */
const SLOW_RESPONSE_MS = 100;
/** Weight of the latest sample in the moving average of response times. */
const SMOOTHING_FACTOR = 0.3;

export class ReservationWindow {
  private size = MAX_WINDOW;
  private inFlight = 0;
  private expectedMs = 0;
  /** Oldest first. */
  private readonly waiters: Deferred<boolean>[] = [];

  /** @param isSilent whether a response of the ledger is overdue */
  constructor(private readonly isSilent: () => boolean) {}

  get hasRequestInFlight(): boolean {
    return this.inFlight > 0;
  }

  /** Moving average of response times, in milliseconds. */
  get expectedResponseMs(): number {
    return this.expectedMs;
  }

  /**
   * Waits for admission. A caller that was admitted must call one of the leave methods.
   * @param usefulMs time after which the response is of no use, in milliseconds
   * @returns false if a response is not expected in time any more
   */
  async enter(usefulMs: number): Promise<boolean> {
    if (this.waiters.length === 0 && this.hasRoom) {
      this.inFlight += 1;
      return true;
    }
    const entered = new Deferred<boolean>();
    this.waiters.push(entered);
    const timer = setTimeout(() => this.abandon(entered), usefulMs - this.expectedMs);
    try {
      return await entered.promise;
    } finally {
      clearTimeout(timer);
    }
  }

  /** Records a response of the ledger. */
  leaveAnswered(tookMs: number): void {
    this.expectedMs += (tookMs - this.expectedMs) * SMOOTHING_FACTOR;
    if (tookMs < SLOW_RESPONSE_MS) this.size = Math.min(MAX_WINDOW, this.size + 1);
    else this.size = stepTowards(this.size, SLOW_WINDOW);
    this.leave();
  }

  /** Records a response whose time does not reflect the ledger's load. */
  leaveUnmeasured(): void {
    this.leave();
  }

  /** Records a request that failed or timed out. */
  leaveFailed(tookMs: number): void {
    this.expectedMs += Math.max(0, tookMs - this.expectedMs) * SMOOTHING_FACTOR;
    this.size = 1;
    this.leave();
  }

  private get hasRoom(): boolean {
    return this.inFlight < (this.isSilent() ? 1 : this.size);
  }

  private leave(): void {
    this.inFlight -= 1;
    while (this.waiters.length > 0 && this.hasRoom) {
      this.inFlight += 1;
      this.takeWaiter().resolve(true);
    }
  }

  /**
   * Takes the newest waiter while the window is reduced: in FIFO order each request would be sent just
   * before its deadline and time out.
   */
  private takeWaiter(): Deferred<boolean> {
    const isNarrow = this.size < MAX_WINDOW;
    return isNarrow ? this.waiters.pop()! : this.waiters.shift()!;
  }

  private abandon(entered: Deferred<boolean>): void {
    const index = this.waiters.indexOf(entered);
    if (index < 0) return;
    this.waiters.splice(index, 1);
    entered.resolve(false);
  }
}

function stepTowards(value: number, target: number): number {
  return value + Math.sign(target - value);
}
