/** Maps that keep what was used last. */
import { LRUCache } from 'lru-cache';

/**
 * A map of at most so many entries that takes memory as it fills: with `max`, `LRUCache` allocates
 * every place at once, which costs a start several milliseconds for large maps that stay small.
 */
export function createLruMap<Key extends object | string, Value extends object | number>(
  maxEntries: number,
): LRUCache<Key, Value> {
  return new LRUCache({ maxSize: maxEntries, sizeCalculation: () => 1 });
}
