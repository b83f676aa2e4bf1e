/**
 * Which shared prompt beginnings engines have served lately, as this gateway saw it. Programs of one
 * tenant often begin with the same instructions; an engine that has them in its cache need not compute
 * them again. A wrong hint costs time, never correctness.
 */
import { LRUCache } from 'lru-cache';
import { hash64Hex } from '../common/index.js';

/** A prompt's beginning: the first message, which programs of a tenant share. */
export interface PromptPrefix {
  key: string;
  tokens: number;
}

const MAX_PREFIXES_PER_ENGINE = 256;
/** A prefix that no call used for this long has likely been evicted. */
const LIFETIME_MS = 60_000;

export class PrefixHints {
  private readonly engines = new Map<string, LRUCache<string, true>>();

  /** Notes that an engine computed or reused a prefix just now. */
  note(engine: string, prefix: PromptPrefix): void {
    let prefixes = this.engines.get(engine);
    if (!prefixes) {
      prefixes = new LRUCache({ max: MAX_PREFIXES_PER_ENGINE, ttl: LIFETIME_MS });
      this.engines.set(engine, prefixes);
    }
    prefixes.set(prefix.key, true);
  }

  /** Tokens of the prefix that an engine likely has in its cache. */
  cachedTokens(engine: string, prefix: PromptPrefix | undefined): number {
    const isKnown = prefix !== undefined && this.engines.get(engine)?.has(prefix.key) === true;
    return isKnown ? prefix.tokens : 0;
  }

  /** Forgets an engine that was lost: what it held is gone. */
  forget(engine: string): void {
    this.engines.delete(engine);
  }
}

/** The tenant is part of the key: no engine shares one tenant's prefix with another. */
export function prefixKey(tenant: string, model: string, firstMessage: string): string {
  return hash64Hex(`${tenant}\n${model}\n${firstMessage}`);
}
