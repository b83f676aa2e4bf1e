import { type ErrorContext, LedgegaugeError } from '../common/index.js';
import type { LeaderRefusal } from './leader-refusal.js';

/** This member does not lead the group. `leaderAddress` is where to ask instead, when known. */
export class NotLeaderError extends LedgegaugeError {
  constructor(
    group: string,
    readonly leaderAddress: string | undefined,
  ) {
    super(`not the leader of ${group}`, { step: 'consensus.propose', retriable: true });
  }
}

/** Leadership ended before the command's fate was known: it may or may not be committed. */
export class CommitUnknownError extends LedgegaugeError {
  constructor(group: string) {
    super(`leadership of ${group} ended first`, { step: 'consensus.commit', retriable: true });
  }
}

/** The group's leader could not be reached in time; a command may or may not have been committed. */
export class GroupUnavailableError extends LedgegaugeError {}

/** The group's leader answered, and refused what it was asked until the caller's time was over. */
export class LeaderRefusedError extends GroupUnavailableError {
  constructor(
    readonly leader: string,
    readonly refusal: LeaderRefusal,
    context: ErrorContext,
  ) {
    super(`${leader} leads and refused: ${refusal.error}: ${refusal.message}`, context);
  }
}

/** A message for another member identity arrived here, for example for one whose disk was lost. */
export class WrongMemberError extends LedgegaugeError {}

/** A membership change is refused, for example because another one is under way. */
export class MembershipChangeError extends LedgegaugeError {}

/** The leader has more commands than the group commits in time; this one was not taken. */
export class GroupOverloadedError extends LedgegaugeError {
  constructor(group: string) {
    super(`${group} is overloaded`, { step: 'consensus.propose', retriable: true });
  }
}
