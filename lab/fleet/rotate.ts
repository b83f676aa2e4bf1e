/** Rotates a list so that it begins with the item at `position`, modulo its length. */
export function rotate<Item>(items: readonly Item[], position: number): Item[] {
  const start = position % items.length;
  return [...items.slice(start), ...items.slice(0, start)];
}
