/** Rates of events by key with exponential decay. */
import { remainingAfter } from '../common/index.js';

const HALF_LIFE_MS = 1_000;
/** Events per second that one event just now stands for. */
const RATE_PER_EVENT = (Math.LN2 / HALF_LIFE_MS) * 1_000;

interface DecayedCount {
  count: number;
  at: number;
}

export class DecayedRates {
  private readonly counts = new Map<string, DecayedCount>();

  add(key: string, now: number): void {
    const entry = this.counts.get(key);
    if (!entry) {
      this.counts.set(key, { count: 1, at: now });
      return;
    }
    entry.count = decayed(entry, now) + 1;
    entry.at = now;
  }

  /** Events per second by key; entries below `minimum` are forgotten. */
  take(now: number, minimum: number): [key: string, perSecond: number][] {
    const rates: [string, number][] = [];
    for (const [key, entry] of this.counts) {
      const perSecond = decayed(entry, now) * RATE_PER_EVENT;
      if (perSecond < minimum) this.counts.delete(key);
      else rates.push([key, perSecond]);
    }
    return rates;
  }
}

function decayed({ count, at }: DecayedCount, now: number): number {
  return count * remainingAfter(now - at, HALF_LIFE_MS);
}
