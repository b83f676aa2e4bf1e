/** Which members hold which group: by highest random weight, spread over zones. */
import { hash32 } from '../common/index.js';
import type { ConfiguredMember } from './cluster-formation.js';

/**
 * Chooses the members that hold a group.
 * @returns at most `replicas` members; no zone gets a second one while another zone has none
 */
export function placeGroup(
  group: string,
  members: readonly ConfiguredMember[],
  replicas: number,
): ConfiguredMember[] {
  const ranked = [...members].sort(
    (left, right) => hash32(`${group}|${right.name}`) - hash32(`${group}|${left.name}`),
  );
  const chosen: ConfiguredMember[] = [];
  while (chosen.length < Math.min(replicas, members.length)) {
    const usedBy = (zone: string): number => chosen.filter((member) => member.zone === zone).length;
    const free = ranked.filter((member) => !chosen.includes(member));
    const leastUsed = Math.min(...free.map((member) => usedBy(member.zone)));
    chosen.push(free.find((member) => usedBy(member.zone) === leastUsed)!);
  }
  return chosen;
}
