/** Whom the answers of members, in one call, point at as the leader. */
import type { PendingAttempts, AttemptOutcome } from './open-tries.js';

export class LeaderHints {
  /** Hints followed since the last pause: two members may point at each other. */
  private readonly followed = new Set<string>();
  /** The member that owes an answer and that another one has pointed at. */
  private awaitedLeader: string | undefined;

  constructor(private readonly attempts: PendingAttempts<unknown>) {}

  /** The member to ask at once on account of an answer, if there is one. */
  follow(outcome: AttemptOutcome<unknown>): string | undefined {
    const hint = this.hintOf(outcome);
    if (hint === undefined) return undefined;
    // A hint at a member that owes an answer is old: who leads next is known soon, so it is asked for.
    if (this.attempts.has(hint)) {
      this.awaitedLeader = hint;
      return undefined;
    }
    if (this.followed.has(hint)) return undefined;
    this.followed.add(hint);
    return hint;
  }

  /** Whether an answer that comes during a pause is worth reading at once. */
  endsPause(outcome: AttemptOutcome<unknown>): boolean {
    return 'response' in outcome || 'refused' in outcome || this.isAwaitedLost(outcome);
  }

  notePause(): void {
    this.followed.clear();
  }

  /** An awaited leader whose connection was lost is asked again itself: the link is mostly up already. */
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
