/** Feed of an engine's cache events: numbered, delayed, and with lost events. */
import { SeededRandom } from '../../src/common/index.js';
import type { CacheEvent } from '../model/prefix-cache.js';

export interface PublishedCacheEvent extends CacheEvent {
  number: number;
}

export interface CacheEventPage {
  events: PublishedCacheEvent[];
  /** Cursor for the next page: the number of the last event returned. */
  next: number;
}

export interface CacheEventFeedOptions {
  /** Delay until an event becomes visible, in milliseconds. */
  lagMs: number;
  /** Probability that an event is not published; its number is then missing from the feed. */
  lossProbability: number;
  seed: number;
}

const MAX_KEPT_EVENTS = 20_000;
const MAX_PAGE_EVENTS = 2_000;

interface TimedEvent extends PublishedCacheEvent {
  atMs: number;
}

export class CacheEventFeed {
  private events: TimedEvent[] = [];
  private lastNumber = 0;
  private readonly random: SeededRandom;

  constructor(private readonly options: CacheEventFeedOptions) {
    this.random = new SeededRandom(options.seed);
  }

  add(event: CacheEvent): void {
    this.lastNumber += 1;
    if (this.random.chance(this.options.lossProbability)) return;
    this.events.push({ ...event, number: this.lastNumber, atMs: performance.now() });
    if (this.events.length > MAX_KEPT_EVENTS) this.events = this.events.slice(MAX_KEPT_EVENTS / 2);
  }

  pageAfter(number: number): CacheEventPage {
    const visibleUntil = performance.now() - this.options.lagMs;
    const page = this.events
      .filter((event) => event.number > number && event.atMs <= visibleUntil)
      .slice(0, MAX_PAGE_EVENTS);
    return {
      events: page.map(({ kind, hash, number: eventNumber }) => ({
        kind,
        hash,
        number: eventNumber,
      })),
      next: page.at(-1)?.number ?? number,
    };
  }
}
