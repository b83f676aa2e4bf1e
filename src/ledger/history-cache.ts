/**
 * Caches histories of turns that this process served, so that the next turn need not fetch them.
 * Turns are immutable: a cached history is valid for as long as the ledger keeps the turn.
 */
import { LRUCache } from 'lru-cache';

const DEFAULT_MAX_BYTES = 24 * 1024 * 1024;

interface CachedTurn {
  history: Buffer;
  backend: string | undefined;
}

export class TurnHistoryCache {
  private readonly turns: LRUCache<string, CachedTurn>;

  /** @param maxBytes maximum total size of the cached histories */
  constructor(maxBytes = DEFAULT_MAX_BYTES) {
    this.turns = new LRUCache({
      maxSize: maxBytes,
      sizeCalculation: ({ history }) => Math.max(1, history.length),
    });
  }

  /** Returns the history up to and including a turn, if it is cached. */
  find(turn: string): Buffer | undefined {
    return this.turns.get(turn)?.history;
  }

  /** Returns the backend that answered a turn, if it is cached and known. */
  findBackend(turn: string): string | undefined {
    return this.turns.get(turn)?.backend;
  }

  /**
   * Caches the history up to and including a turn.
   * @param backend the backend that answered the turn
   */
  add(
    turn: string,
    before: Uint8Array | undefined,
    input: Buffer,
    output: Buffer,
    backend?: string,
  ): void {
    const parts = before === undefined ? [input, output] : [before, input, output];
    this.turns.set(turn, { history: Buffer.concat(parts), backend });
  }
}
