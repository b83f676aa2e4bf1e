/**
 * What one back end most likely keeps of the prompts that this gateway sent there. Back ends let go
 * what was unused longest; a part that was last used before so many new tokens came is taken as gone.
 */
import { createLruMap } from '../common/index.js';
import type { PromptPart } from './call-exchange.js';

const REMEMBERED_PARTS = 4_000;

export class PromptCacheView {
  /** Parts by their ids, with the tokens that had been sent here when each was used last. */
  private readonly usedAt = createLruMap<string, number>(REMEMBERED_PARTS);
  /** Tokens that were new to the back end, of all calls so far. */
  private newTokens = 0;

  /** @param capacity this gateway's share of the tokens that the back end can keep */
  constructor(private readonly capacity: () => number) {}

  noteSent(parts: readonly PromptPart[]): void {
    this.newTokens += this.missingTokens(parts);
    for (const part of parts) this.usedAt.set(part.id, this.newTokens);
  }

  /** Tokens from the first part on that is not kept. */
  missingTokens(parts: readonly PromptPart[]): number {
    const firstMissing = parts.findIndex((part) => !this.isKept(part.id));
    if (firstMissing < 0) return 0;
    return parts.slice(firstMissing).reduce((sum, part) => sum + part.tokens, 0);
  }

  private isKept(id: string): boolean {
    const usedAt = this.usedAt.get(id);
    return usedAt !== undefined && this.newTokens - usedAt <= this.capacity();
  }
}
