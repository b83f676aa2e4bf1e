/** Maps that evict the least recently used entries. */
import { LRUCache } from 'lru-cache';

/**
 * Creates an LRU map that allocates memory as it grows. With `max`, `LRUCache` would allocate all entries
 * at once, which slows down the start for large limits.
 */
export function createLruMap<Key extends object | string, Value extends object | number>(
  maxEntries: number,
): LRUCache<Key, Value> {
  return new LRUCache({ maxSize: maxEntries, sizeCalculation: () => 1 });
}
