/** Follows the leader hints in the responses to one call. */
import type { PendingAttempts, AttemptOutcome } from './open-tries.js';

export class LeaderHints {
  /**
   * Hints followed since the last pause. Prevents loops between members that refer to each other.
   */
  private readonly followed = new Set<string>();
  /** A member with a pending request that another member named as leader. */
  private awaitedLeader: string | undefined;

  constructor(private readonly attempts: PendingAttempts<unknown>) {}

  /** The member to ask immediately because of a response, if any. */
  follow(outcome: AttemptOutcome<unknown>): string | undefined {
    const hint = this.hintOf(outcome);
    if (hint === undefined) return undefined;
    // The named member has not responded and may no longer lead, so other members are asked.
    if (this.attempts.has(hint)) {
      this.awaitedLeader = hint;
      return undefined;
    }
    if (this.followed.has(hint)) return undefined;
    this.followed.add(hint);
    return hint;
  }

  /** Whether an outcome during a pause should be processed immediately. */
  endsPause(outcome: AttemptOutcome<unknown>): boolean {
    return 'response' in outcome || 'refused' in outcome || this.isAwaitedLost(outcome);
  }

  notePause(): void {
    this.followed.clear();
  }

  /**
   * The hinted leader's address. If the connection to that leader was lost, it is asked again at
   * once, since the link usually has been re-established.
   */
  private hintOf(outcome: AttemptOutcome<unknown>): string | undefined {
    if ('leaderAddress' in outcome && outcome.leaderAddress !== undefined) {
      return outcome.leaderAddress;
    }
    if (!this.isAwaitedLost(outcome)) return undefined;
    this.awaitedLeader = undefined;
    return outcome.address;
  }

  private isAwaitedLost({ isLost, address }: AttemptOutcome<unknown>): boolean {
    return isLost && address === this.awaitedLeader;
  }
}
