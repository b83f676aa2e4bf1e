/** All items in their order, beginning at a position and going round. */
export function rotate<Item>(items: readonly Item[], position: number): Item[] {
  const start = position % items.length;
  return [...items.slice(start), ...items.slice(0, start)];
}
