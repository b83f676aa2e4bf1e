/**
 * Which engines a gateway keeps an eye on. With thousands of engines no gateway can follow the load
 * of all; each takes a fixed share, those of its own zone first, chosen so that all engines are in
 * about as many shares and that few change when engines come and go (rendezvous hashing).
 */
import { hash32 } from '../common/index.js';
import type { Backend } from './backend.js';

export interface SubsetOwner {
  name: string;
  zone: string;
}

/** @returns at most `size` of the engines */
export function chooseSubset(
  engines: readonly Backend[],
  owner: SubsetOwner,
  size: number,
): Backend[] {
  if (engines.length <= size) return [...engines];
  const rankOf = (engine: Backend): number => hash32(`${owner.name}|${engine.id}`);
  const isNear = (engine: Backend): boolean => engine.intent.zone === owner.zone;
  const ranked = engines.map((engine) => ({ engine, near: isNear(engine), rank: rankOf(engine) }));
  ranked.sort((left, right) => Number(right.near) - Number(left.near) || right.rank - left.rank);
  return ranked.slice(0, size).map(({ engine }) => engine);
}
