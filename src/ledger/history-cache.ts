/**
 * Histories of turns that went through this process, so that the next turn need not fetch them. A
 * turn never changes, so only the ledger's word that it still stands is needed.
 */
import { LRUCache } from 'lru-cache';

const DEFAULT_MAX_BYTES = 24 * 1024 * 1024;

export class TurnHistoryCache {
  private readonly histories: LRUCache<string, Buffer>;

  /** @param maxBytes bytes that all histories together may take */
  constructor(maxBytes = DEFAULT_MAX_BYTES) {
    this.histories = new LRUCache({
      maxSize: maxBytes,
      sizeCalculation: (history) => Math.max(1, history.length),
    });
  }

  /** Everything up to and with a turn, if it is known here. */
  find(turn: string): Buffer | undefined {
    return this.histories.get(turn);
  }

  /** Remembers a turn with all that came before it. */
  add(turn: string, before: Uint8Array | undefined, input: Buffer, output: Buffer): void {
    const parts = before === undefined ? [input, output] : [before, input, output];
    this.histories.set(turn, Buffer.concat(parts));
  }
}
