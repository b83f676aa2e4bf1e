/**
 * Estimates which prompt parts one backend has cached, based on the prompts that this gateway sent to
 * it. Assumes LRU eviction: a part counts as evicted once more new tokens than the capacity were sent
 * since its last use.
 */
import { createLruMap, detachedKey, heldKeyOf } from '../common/index.js';
import { type PromptPart, promptTokensOf } from './call-exchange.js';

const MAX_TRACKED_PARTS = 4_000;

export class PromptCacheView {
  /** Value of `newTokens` at the last use of each part, by part id. */
  private readonly usedAt = createLruMap<string, number>(MAX_TRACKED_PARTS);
  /** Total number of uncached tokens sent so far. */
  private newTokens = 0;

  /** @param capacity this gateway's share of the backend's cache, in tokens */
  constructor(private readonly capacity: () => number) {}

  noteSent(parts: readonly PromptPart[]): void {
    this.newTokens += this.missingTokens(parts);
    for (const part of parts) this.noteUse(part.id);
  }

  /** Tokens from the first uncached part on. */
  missingTokens(parts: readonly PromptPart[]): number {
    const firstMissing = parts.findIndex((part) => !this.isCached(part.id));
    if (firstMissing < 0) return 0;
    return promptTokensOf(parts.slice(firstMissing));
  }

  private noteUse(id: string): void {
    const key = heldKeyOf(id);
    this.usedAt.set(this.usedAt.has(key) ? key : detachedKey(key), this.newTokens);
  }

  private isCached(id: string): boolean {
    const usedAt = this.usedAt.get(heldKeyOf(id));
    return usedAt !== undefined && this.newTokens - usedAt <= this.capacity();
  }
}
