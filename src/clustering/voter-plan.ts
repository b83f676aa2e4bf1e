/**
 * Plans the next membership change of a group. The goal is the target number of voters, with lost or retiring
 * voters replaced as soon as another member can take over. The functions are pure.
 */
import { type GroupConfiguration, type Member, votersOf } from '../consensus/index.js';

/** A process that announced itself recently. */
export interface Candidate {
  member: Member;
}

export interface VoterPlanInput {
  configuration: GroupConfiguration;
  ownId: string;
  targetVoters: number;
  /** Processes that announced themselves recently, including members. */
  candidates: readonly Candidate[];
  /** Whether a member has responded recently. */
  isReachable: (id: string) => boolean;
  /** Whether a member has not responded for so long that it is removed. */
  isLost: (id: string) => boolean;
  /** Whether a learner has replicated nearly the whole log. */
  isCaughtUp: (id: string) => boolean;
  /** Whether a machine is being retired. */
  isRetiring: (name: string) => boolean;
}

export type MembershipStep =
  | { kind: 'add-learner'; member: Member }
  | { kind: 'promote'; member: Member }
  | { kind: 'remove'; member: Member }
  | { kind: 'hand-over' };

/** The next step, or undefined if none is needed. */
export function planMembershipStep(input: VoterPlanInput): MembershipStep | undefined {
  return planStaleLearner(input) ?? planAdmission(input) ?? planVoters(input);
}

/** Removes a learner that is lost, retiring, or replaced by another identity on its machine. */
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
  const newCandidate = input.candidates.find(
    ({ member }) => !known.has(member.id) && !input.isRetiring(member.name),
  );
  return (
    newCandidate && { kind: 'add-learner', member: { ...newCandidate.member, role: 'learner' } }
  );
}

function planVoters(input: VoterPlanInput): MembershipStep | undefined {
  const voters = votersOf(input.configuration);
  const outgoing = voters.find((voter) => needsReplacement(input, voter));
  const successor = readyLearner(input);
  if (outgoing && successor && voters.length <= input.targetVoters) {
    return { kind: 'promote', member: { ...successor, role: 'voter' } };
  }
  if (!outgoing && voters.length < input.targetVoters && successor) {
    return { kind: 'promote', member: { ...successor, role: 'voter' } };
  }
  if (voters.length <= input.targetVoters) return undefined;
  const removable = outgoing ?? voters.find((voter) => voter.id !== input.ownId);
  if (!removable) return undefined;
  return removable.id === input.ownId
    ? { kind: 'hand-over' }
    : { kind: 'remove', member: removable };
}

function needsReplacement(input: VoterPlanInput, voter: Member): boolean {
  return (
    input.isRetiring(voter.name) ||
    (voter.id !== input.ownId && (isReplaced(input, voter) || !input.isReachable(voter.id)))
  );
}

/** Whether a process with another identity announced itself under the member's name or address. */
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
