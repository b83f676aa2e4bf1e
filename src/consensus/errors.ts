import { type ErrorContext, LedgegaugeError } from '../common/index.js';
import type { LeaderRefusal } from './leader-refusal.js';

/** This member is not the leader of the group. `leaderAddress` is the known leader, if any. */
export class NotLeaderError extends LedgegaugeError {
  constructor(
    group: string,
    readonly leaderAddress: string | undefined,
  ) {
    super(`not the leader of ${group}`, { step: 'consensus.propose', retriable: true });
  }
}

/** Leadership ended before the outcome was known; the command may or may not be committed. */
export class CommitUnknownError extends LedgegaugeError {
  constructor(group: string) {
    super(`leadership of ${group} ended before the outcome was known`, {
      step: 'consensus.commit',
      retriable: true,
    });
  }
}

/**
 * The group's leader could not be reached in time. The command may or may not have been committed.
 */
export class GroupUnavailableError extends LedgegaugeError {}

/** The group's leader rejected the request until the caller's timeout expired. */
export class LeaderRefusedError extends GroupUnavailableError {
  constructor(
    readonly leader: string,
    readonly refusal: LeaderRefusal,
    context: ErrorContext,
  ) {
    super(`${leader} rejected the request: ${refusal.error}: ${refusal.message}`, context);
  }
}

/** A message was addressed to another member identity, for example one whose disk was replaced. */
export class WrongMemberError extends LedgegaugeError {}

/** A membership change was rejected, for example because another one is in progress. */
export class MembershipChangeError extends LedgegaugeError {}

/** The leader has more commands than the group commits in time. The command was not accepted. */
export class GroupOverloadedError extends LedgegaugeError {
  constructor(group: string) {
    super(`${group} is overloaded`, { step: 'consensus.propose', retriable: true });
  }
}
