/** Which members hold which group: by highest random weight, spread over regions and zones. */
import { rankForKey } from '../common/index.js';
import type { ConfiguredMember } from './cluster-formation.js';

/**
 * Chooses the members that hold a group.
 * @returns at most `replicas` members; no region gets another one while a region has fewer, and
 * within a region no zone gets a second one while another zone has none
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

/** Those members whose place is used least, in the order given. */
function leastUsed(
  members: readonly ConfiguredMember[],
  usesOf: (member: ConfiguredMember) => number,
): ConfiguredMember[] {
  const least = Math.min(...members.map(usesOf));
  return members.filter((member) => usesOf(member) === least);
}
