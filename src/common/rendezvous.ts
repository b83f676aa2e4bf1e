/** Rendezvous hashing: every key ranks the same items in an order of its own. */
import { hash32 } from './hashing.js';

/** Items by their weight for a key, the highest first; few change place when items come and go. */
export function rankForKey<Item>(
  key: string,
  items: readonly Item[],
  nameOf: (item: Item) => string,
): Item[] {
  return items
    .map((item) => ({ item, weight: hash32(`${key}|${nameOf(item)}`) }))
    .sort((left, right) => right.weight - left.weight)
    .map(({ item }) => item);
}
