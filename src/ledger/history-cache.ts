/**
 * Caches histories of turns that this process served, so that the next turn need not fetch them.
 * Turns are immutable: a cached history is valid for as long as the ledger keeps the turn.
 */
import { LRUCache } from 'lru-cache';

const DEFAULT_MAX_BYTES = 24 * 1024 * 1024;

/** A turn with the history up to and including it. */
export interface CachedTurn {
  history: Buffer;
  /** The backend that answered it, if known. */
  backend: string | undefined;
  /** Until then the ledger keeps the turn for certain (monotonic, milliseconds). */
  keptUntilMs: number;
}

/** A turn that this process served. */
export interface ServedTurn extends Omit<CachedTurn, 'history'> {
  /** History of the turn that it continued; undefined if it was a first turn. */
  before: Uint8Array | undefined;
  input: Buffer;
  output: Buffer;
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

  /** Returns a turn, if it is cached. */
  find(turn: string): CachedTurn | undefined {
    return this.turns.get(turn);
  }

  /** Caches the history up to and including a turn. */
  add(turn: string, { before, input, output, ...cached }: ServedTurn): void {
    const parts = before === undefined ? [input, output] : [before, input, output];
    this.turns.set(turn, { ...cached, history: Buffer.concat(parts) });
  }
}
