/** Why the members that one call has asked gave no answer, for the error that its caller gets. */
import { GroupUnavailableError, LeaderRefusedError } from './errors.js';
import type { LeaderRefusal } from './leader-refusal.js';
import type { AttemptOutcome } from './open-tries.js';

type NoResult = Exclude<AttemptOutcome<unknown>, { response: unknown }>;

interface RefusingLeader {
  address: string;
  refusal: LeaderRefusal;
}

export class LeaderSearchFailure {
  private latest = 'no member asked';
  /** Stands until that member says something else: what members say that don't lead is no reason. */
  private refusing: RefusingLeader | undefined;

  note(answer: NoResult): void {
    const { address } = answer;
    if ('refused' in answer) {
      this.refusing = { address, refusal: answer.refused };
      return;
    }
    if (this.refusing?.address === address) this.refusing = undefined;
    this.latest = answer.refusal ?? this.latest;
  }

  toError(step: string, group: string): GroupUnavailableError {
    const context = { step, peer: group, retriable: true };
    if (!this.refusing)
      return new GroupUnavailableError(`no leader answered: ${this.latest}`, context);
    const { address, refusal } = this.refusing;
    return new LeaderRefusedError(address, refusal, context);
  }
}
