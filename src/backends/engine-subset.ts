/**
 * Which engines a gateway keeps an eye on. With thousands of engines no gateway can follow the load
 * of all; each takes a fixed share, those of its own zone first, chosen so that all engines are in
 * about as many shares and that few change when engines come and go (rendezvous hashing).
 */
import { rankForKey } from '../common/index.js';
import type { BackendIntent } from '../intents/index.js';

export interface SubsetOwner {
  name: string;
  zone: string;
}

/** @returns at most `size` of the engines */
export function chooseSubset(
  engines: readonly BackendIntent[],
  owner: SubsetOwner,
  size: number,
): BackendIntent[] {
  if (engines.length <= size) return [...engines];
  const rank = (some: BackendIntent[]): BackendIntent[] =>
    rankForKey(owner.name, some, (engine) => engine.id);
  const near = rank(engines.filter((engine) => engine.zone === owner.zone));
  if (near.length >= size) return near.slice(0, size);
  const far = rank(engines.filter((engine) => engine.zone !== owner.zone));
  return [...near, ...far].slice(0, size);
}
