/**
 * Which engines a gateway keeps an eye on. With thousands of engines no gateway can follow the load
 * of all; each takes a fixed share, those of its own zone first, chosen so that all engines are in
 * about as many shares and that few change when engines come and go (rendezvous hashing).
 */
import { hash32 } from '../common/index.js';
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
  const near = engines.filter((engine) => engine.zone === owner.zone);
  const chosen = highestRanked(near, owner, size);
  if (chosen.length === size) return chosen;
  const far = engines.filter((engine) => engine.zone !== owner.zone);
  return [...chosen, ...highestRanked(far, owner, size - chosen.length)];
}

function highestRanked(
  engines: readonly BackendIntent[],
  owner: SubsetOwner,
  count: number,
): BackendIntent[] {
  return engines
    .map((engine) => ({ engine, rank: hash32(`${owner.name}|${engine.id}`) }))
    .sort((left, right) => right.rank - left.rank)
    .slice(0, count)
    .map(({ engine }) => engine);
}
