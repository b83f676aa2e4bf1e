/**
 * Decides the next change of a group's members: as many voters as are wished, none of them lost or
 * leaving while another member could take its place. Pure, so that every case can be tested.
 */
import { type GroupConfiguration, type Member, votersOf } from '../consensus/index.js';

/** What the leader knows of a process that presented itself lately. */
export interface Candidate {
  member: Member;
}

export interface VoterPlanInput {
  configuration: GroupConfiguration;
  ownId: string;
  targetVoters: number;
  /** Processes that presented themselves lately, also those that are members. */
  candidates: readonly Candidate[];
  /** Whether a member has answered lately. */
  isReachable: (id: string) => boolean;
  /** Whether a member has been silent for long. */
  isLost: (id: string) => boolean;
  /** Whether a learner holds nearly the whole log. */
  isCaughtUp: (id: string) => boolean;
  /** Whether a machine is to be emptied. */
  isRetiring: (name: string) => boolean;
}

export type MembershipStep =
  | { kind: 'add-learner'; member: Member }
  | { kind: 'promote'; member: Member }
  | { kind: 'remove'; member: Member }
  | { kind: 'hand-over' };

/** The next step, or nothing while all is as wished. */
export function planMembershipStep(input: VoterPlanInput): MembershipStep | undefined {
  return planStaleLearner(input) ?? planAdmission(input) ?? planVoters(input);
}

/** A learner whose machine came back with another identity, or that left, only holds the log up. */
function planStaleLearner(input: VoterPlanInput): MembershipStep | undefined {
  const stale = input.configuration.members.find(
    (member) =>
      member.role === 'learner' &&
      (isReplaced(input, member) || input.isRetiring(member.name) || input.isLost(member.id)),
  );
  return stale && { kind: 'remove', member: stale };
}

function planAdmission(input: VoterPlanInput): MembershipStep | undefined {
  const known = new Set(input.configuration.members.map((member) => member.id));
  const fresh = input.candidates.find(
    ({ member }) => !known.has(member.id) && !input.isRetiring(member.name),
  );
  return fresh && { kind: 'add-learner', member: { ...fresh.member, role: 'learner' } };
}

function planVoters(input: VoterPlanInput): MembershipStep | undefined {
  const voters = votersOf(input.configuration);
  const unfit = voters.find((voter) => isUnfit(input, voter));
  const successor = readyLearner(input);
  if (unfit && successor && voters.length <= input.targetVoters) {
    return { kind: 'promote', member: { ...successor, role: 'voter' } };
  }
  if (!unfit && voters.length < input.targetVoters && successor) {
    return { kind: 'promote', member: { ...successor, role: 'voter' } };
  }
  if (voters.length <= input.targetVoters) return undefined;
  const leaving = unfit ?? voters.find((voter) => voter.id !== input.ownId);
  if (!leaving) return undefined;
  return leaving.id === input.ownId ? { kind: 'hand-over' } : { kind: 'remove', member: leaving };
}

function isUnfit(input: VoterPlanInput, voter: Member): boolean {
  return (
    input.isRetiring(voter.name) ||
    (voter.id !== input.ownId && (isReplaced(input, voter) || !input.isReachable(voter.id)))
  );
}

/** Whether a process with another identity presented itself under the member's name or address. */
function isReplaced(input: VoterPlanInput, member: Member): boolean {
  return input.candidates.some(
    (candidate) =>
      candidate.member.id !== member.id &&
      (candidate.member.name === member.name || candidate.member.address === member.address),
  );
}

function readyLearner(input: VoterPlanInput): Member | undefined {
  return input.configuration.members.find(
    (member) =>
      member.role === 'learner' &&
      !input.isRetiring(member.name) &&
      input.isReachable(member.id) &&
      input.isCaughtUp(member.id),
  );
}
