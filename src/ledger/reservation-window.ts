/**
 * How many reservations of one gateway may be under way at the ledger. While it answers there is room for
 * plenty; a slow one is asked by fewer, and a silent one by one, however many turns wait, so that whoever
 * leads next isn't met by the questions of all gateways at once. The window opens again answer by answer.
 */
import { Deferred } from '../common/index.js';

/** Reservations under way while the ledger answers soon: above what a busy gateway needs. */
const MOST_UNDER_WAY = 16;
/** The same while it is slow: what keeps it busy, however many gateways there are. */
const MOST_WHILE_SLOW = 4;
/** An answer that takes longer is slow, in milliseconds: a tenth of what turns of a second may wait. */
const SLOW_ANSWER_MS = 100;
/** Share of the latest answer in what one is expected to take. */
const LATEST_SHARE = 0.3;

export class ReservationWindow {
  private size = MOST_UNDER_WAY;
  private underWay = 0;
  private expectedMs = 0;
  /** Oldest first. */
  private readonly waiting: Deferred<boolean>[] = [];

  /** @param isSilent whether the ledger has owed an answer for too long */
  constructor(private readonly isSilent: () => boolean) {}

  /** Whether a question is under way. */
  get hasRequestInFlight(): boolean {
    return this.underWay > 0;
  }

  /** What an answer takes, in milliseconds. */
  get expectedResponseMs(): number {
    return this.expectedMs;
  }

  /**
   * @param usefulMs how long an answer is of any use, in milliseconds
   * @returns whether there was room while an answer could still come in time; whoever entered has to leave
   */
  async enter(usefulMs: number): Promise<boolean> {
    if (this.waiting.length === 0 && this.hasRoom) {
      this.underWay += 1;
      return true;
    }
    const entered = new Deferred<boolean>();
    this.waiting.push(entered);
    const timer = setTimeout(() => this.giveUp(entered), usefulMs - this.expectedMs);
    try {
      return await entered.promise;
    } finally {
      clearTimeout(timer);
    }
  }

  /** The ledger has answered. */
  leaveAnswered(tookMs: number): void {
    this.expectedMs += (tookMs - this.expectedMs) * LATEST_SHARE;
    if (tookMs < SLOW_ANSWER_MS) this.size = Math.min(MOST_UNDER_WAY, this.size + 1);
    else this.size = stepTowards(this.size, MOST_WHILE_SLOW);
    this.leave();
  }

  /** The ledger has answered, after a time that does not tell how busy it is. */
  leaveUnmeasured(): void {
    this.leave();
  }

  /** The ledger has not answered in time. */
  leaveFailed(tookMs: number): void {
    this.expectedMs += Math.max(0, tookMs - this.expectedMs) * LATEST_SHARE;
    this.size = 1;
    this.leave();
  }

  private get hasRoom(): boolean {
    return this.underWay < (this.isSilent() ? 1 : this.size);
  }

  private leave(): void {
    this.underWay -= 1;
    while (this.waiting.length > 0 && this.hasRoom) {
      this.underWay += 1;
      this.next().resolve(true);
    }
  }

  /**
   * The newest while the window is narrow: in order, each would ask in the last moment of its time, and
   * hear nothing before it is over.
   */
  private next(): Deferred<boolean> {
    const isNarrow = this.size < MOST_UNDER_WAY;
    return isNarrow ? this.waiting.pop()! : this.waiting.shift()!;
  }

  private giveUp(entered: Deferred<boolean>): void {
    const index = this.waiting.indexOf(entered);
    if (index < 0) return;
    this.waiting.splice(index, 1);
    entered.resolve(false);
  }
}

function stepTowards(value: number, target: number): number {
  return value + Math.sign(target - value);
}
