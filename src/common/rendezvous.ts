/** Rendezvous hashing: ranks items in an order that depends on a key. */
import { hash32 } from './hashing.js';

/** Sorts items by their weight for a key, highest first; adding or removing one keeps the order of the others. */
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
