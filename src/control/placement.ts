/** Placement of groups on members: rendezvous hashing, spread over regions and zones. */
import { rankForKey } from '../common/index.js';
import type { ConfiguredMember } from './cluster-formation.js';

/**
 * Chooses the members that replicate a group.
 * @returns at most `replicas` members, distributed evenly over regions and, within a region, over zones
 */
export function placeGroup(
  group: string,
  members: readonly ConfiguredMember[],
  replicas: number,
): ConfiguredMember[] {
  const ranked = rankForKey(group, members, (member) => member.name);
  const chosen: ConfiguredMember[] = [];
  while (chosen.length < Math.min(replicas, members.length)) {
    const free = ranked.filter((member) => !chosen.includes(member));
    const inRegion = leastUsed(free, (member) => countOf(chosen, 'region', member.region));
    const inZone = leastUsed(inRegion, (member) => countOf(chosen, 'zone', member.zone));
    chosen.push(inZone[0]!);
  }
  return chosen;
}

function countOf(
  chosen: readonly ConfiguredMember[],
  place: 'region' | 'zone',
  name: string,
): number {
  return chosen.filter((member) => member[place] === name).length;
}

/** Members with the fewest uses, in the given order. */
function leastUsed(
  members: readonly ConfiguredMember[],
  usesOf: (member: ConfiguredMember) => number,
): ConfiguredMember[] {
  const least = Math.min(...members.map(usesOf));
  return members.filter((member) => usesOf(member) === least);
}
