/** Collects the reasons why a call found no leader, for the error reported to the caller. */
import { GroupUnavailableError, LeaderRefusedError } from './errors.js';
import type { LeaderRefusal } from './leader-refusal.js';
import type { AttemptOutcome } from './open-tries.js';

type FailedOutcome = Exclude<AttemptOutcome<unknown>, { response: unknown }>;

interface RejectingLeader {
  address: string;
  refusal: LeaderRefusal;
}

export class LeaderSearchFailure {
  private latestReason = 'no member was asked';
  /**
   * Kept until the same member responds differently; responses of non-leaders do not replace it.
   */
  private rejectingLeader: RejectingLeader | undefined;

  note(outcome: FailedOutcome): void {
    const { address } = outcome;
    if ('refused' in outcome) {
      this.rejectingLeader = { address, refusal: outcome.refused };
      return;
    }
    if (this.rejectingLeader?.address === address) this.rejectingLeader = undefined;
    this.latestReason = outcome.refusal ?? this.latestReason;
  }

  toError(step: string, group: string): GroupUnavailableError {
    const context = { step, peer: group, retriable: true };
    if (!this.rejectingLeader)
      return new GroupUnavailableError(`no leader answered: ${this.latestReason}`, context);
    const { address, refusal } = this.rejectingLeader;
    return new LeaderRefusedError(address, refusal, context);
  }
}
