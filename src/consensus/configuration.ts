/** The members of a replicated group. */
import { decodeValue, encodeValue } from '../wire/index.js';

export type MemberRole = 'voter' | 'learner';

export interface Member {
  /** Identity of the member's data folder. A replaced disk gets a new identity. */
  id: string;
  /** Node name set by the operator. It stays the same when the disk is replaced. */
  name: string;
  /** `host:port` of the member's internal endpoint. */
  address: string;
  role: MemberRole;
}

export interface GroupConfiguration {
  members: Member[];
}

export const EMPTY_CONFIGURATION: GroupConfiguration = { members: [] };

export function encodeConfiguration(configuration: GroupConfiguration): Uint8Array {
  return encodeValue(configuration);
}

export function decodeConfiguration(bytes: Uint8Array): GroupConfiguration {
  return decodeValue<GroupConfiguration>(bytes);
}

export function votersOf(configuration: GroupConfiguration): Member[] {
  return configuration.members.filter((member) => member.role === 'voter');
}

export function findMember(configuration: GroupConfiguration, id: string): Member | undefined {
  return configuration.members.find((member) => member.id === id);
}

export function isVoter(configuration: GroupConfiguration, id: string): boolean {
  return findMember(configuration, id)?.role === 'voter';
}

/** Number of voters that form a majority. */
export function quorumSize(configuration: GroupConfiguration): number {
  return Math.floor(votersOf(configuration).length / 2) + 1;
}

/**
 * The highest value that a majority of voters has reached.
 * @param valueOf returns the value of one voter, for example its match index
 */
export function quorumValue(
  configuration: GroupConfiguration,
  valueOf: (memberId: string) => number,
): number {
  const descending: number[] = [];
  for (const { id, role } of configuration.members) {
    if (role === 'voter') insertDescending(descending, valueOf(id));
  }
  return descending[Math.floor(descending.length / 2)] ?? Number.NEGATIVE_INFINITY;
}

/** Called for each command and follower: a sort with a comparison function would leave more garbage than the command. */
function insertDescending(descending: number[], value: number): void {
  let position = descending.length;
  descending.push(value);
  for (; position > 0 && descending[position - 1]! < value; position -= 1)
    descending[position] = descending[position - 1]!;
  descending[position] = value;
}

/** Adds a member, or replaces the one with the same id. */
export function withMember(configuration: GroupConfiguration, member: Member): GroupConfiguration {
  return { members: [...withoutMember(configuration, member.id).members, member] };
}

export function withoutMember(configuration: GroupConfiguration, id: string): GroupConfiguration {
  return { members: configuration.members.filter((member) => member.id !== id) };
}

/**
 * Zero-based rank of a member as leader of a group, for its first election and for transfers. The preferred voter differs
 * between groups, which spreads leaders over the members.
 */
export function startupRank(
  configuration: GroupConfiguration,
  ownId: string,
  groupName: string,
): number {
  const voters = votersOf(configuration)
    .map((voter) => voter.name)
    .sort();
  const own = findMember(configuration, ownId)?.name;
  if (own === undefined || voters.length === 0) return 0;
  const offset = [...groupName].reduce((sum, character) => sum + character.charCodeAt(0), 0);
  return (voters.indexOf(own) + offset) % voters.length;
}

/**
 * Members from which missing data is fetched, in order of preference: voters in random order, then
 * the leader, whose link is needed for commits, then learners, which may lack the data.
 */
export function sourcesOf(
  configuration: GroupConfiguration,
  ownId: string,
  leaderId: string | undefined,
): Member[] {
  const others = configuration.members.filter(({ id }) => id !== ownId);
  const rankOf = ({ id, role }: Member): number => {
    if (id === leaderId) return 1;
    return role === 'voter' ? 0 : 2;
  };
  return others
    .map((member) => ({ member, rank: rankOf(member) + Math.random() / 2 }))
    .sort((left, right) => left.rank - right.rank)
    .map(({ member }) => member);
}
