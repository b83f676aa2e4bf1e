/**
 * Selects the subset of engines that a gateway monitors and uses, because no gateway can monitor
 * thousands of engines. Engines of the gateway's zone come first. Rendezvous hashing balances the
 * subsets over the engines and keeps changes small when engines are added or removed.
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
  const rank = (group: BackendIntent[]): BackendIntent[] =>
    rankForKey(owner.name, group, (engine) => engine.id);
  const near = rank(engines.filter((engine) => engine.zone === owner.zone));
  if (near.length >= size) return near.slice(0, size);
  const far = rank(engines.filter((engine) => engine.zone !== owner.zone));
  return [...near, ...far].slice(0, size);
}
