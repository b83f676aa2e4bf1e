/**
 * Caches histories of turns that this process served, so that the next turn need not fetch them.
 * Turns are immutable: a cached history is valid for as long as the ledger keeps the turn.
 */
import { LRUCache } from 'lru-cache';

const DEFAULT_MAX_BYTES = 24 * 1024 * 1024;

export class TurnHistoryCache {
  private readonly histories: LRUCache<string, Buffer>;

  /** @param maxBytes maximum total size of the cached histories */
  constructor(maxBytes = DEFAULT_MAX_BYTES) {
    this.histories = new LRUCache({
      maxSize: maxBytes,
      sizeCalculation: (history) => Math.max(1, history.length),
    });
  }

  /** Returns the history up to and including a turn, if it is cached. */
  find(turn: string): Buffer | undefined {
    return this.histories.get(turn);
  }

  /** Caches the history up to and including a turn. */
  add(turn: string, before: Uint8Array | undefined, input: Buffer, output: Buffer): void {
    const parts = before === undefined ? [input, output] : [before, input, output];
    this.histories.set(turn, Buffer.concat(parts));
  }
}
