/**
 * Memory of an engine's cache as a limit of concurrent calls. Each call in progress holds the tokens of its history, its
 * prompt and its answer; a call that does not fit waits until others have ended.
 */

export interface CacheDemand {
  /** Tokens of this gateway's calls in flight. */
  ownTokens: number;
  /** Calls in flight from other gateways, whose tokens are not known. */
  otherCalls: number;
  /** Mean tokens of a call. */
  typicalTokens: number;
  /** Tokens of the cache. */
  cacheTokens: number;
}

/** Number of typical calls that must end before a call with `tokens` fits into the cache; 0 if it fits. */
export function callsOverCache(tokens: number, demand: CacheDemand): number {
  const { ownTokens, otherCalls, typicalTokens, cacheTokens } = demand;
  if (cacheTokens <= 0 || typicalTokens <= 0) return 0;
  const excess = ownTokens + otherCalls * typicalTokens + tokens - cacheTokens;
  // A call that alone exceeds the cache waits for all others, not for its own size.
  return Math.min(Math.max(0, excess), ownTokens + otherCalls * typicalTokens) / typicalTokens;
}
