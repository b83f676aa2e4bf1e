/**
 * Tracks which shared prompt prefixes each engine has recently served for this gateway. Programs of a
 * tenant often start with the same instructions, which an engine with a prefix cache need not compute
 * again. A stale hint costs latency, never correctness.
 */
import { LRUCache } from 'lru-cache';
import { hash64Hex } from '../common/index.js';

/** The first message of a prompt, which programs of a tenant share. */
export interface PromptPrefix {
  key: string;
  tokens: number;
}

const MAX_PREFIXES_PER_ENGINE = 256;
/** A prefix unused for this long has probably been evicted by the engine. */
const HINT_TTL_MS = 60_000;

export class PrefixHints {
  private readonly engines = new Map<string, LRUCache<string, true>>();

  /** Records that an engine has just computed or reused a prefix. */
  note(engine: string, prefix: PromptPrefix): void {
    let prefixes = this.engines.get(engine);
    if (!prefixes) {
      prefixes = new LRUCache({ max: MAX_PREFIXES_PER_ENGINE, ttl: HINT_TTL_MS });
      this.engines.set(engine, prefixes);
    }
    prefixes.set(prefix.key, true);
  }

  /** Tokens of the prefix that an engine probably has cached. */
  cachedTokens(engine: string, prefix: PromptPrefix | undefined): number {
    const isCached = prefix !== undefined && this.engines.get(engine)?.has(prefix.key) === true;
    return isCached ? prefix.tokens : 0;
  }

  /** Drops the hints of an engine that was lost together with its cache. */
  forget(engine: string): void {
    this.engines.delete(engine);
  }
}

/** The key includes the tenant because engines do not share prefixes between tenants. */
export function prefixKey(tenant: string, model: string, firstMessage: string): string {
  return hash64Hex(`${tenant}\n${model}\n${firstMessage}`);
}
