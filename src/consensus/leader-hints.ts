/** Whom the answers of members, in one call, point at as the leader. */
import type { PendingAttempts, AttemptOutcome } from './open-tries.js';

export class LeaderHints {
  /** Hints followed since the last pause: two members may point at each other. */
  private readonly followed = new Set<string>();
  /** The member that owes an answer and that another one has pointed at. */
  private awaited: string | undefined;

  constructor(private readonly tries: PendingAttempts<unknown>) {}

  /** The member to ask at once on account of an answer, if there is one. */
  follow(answer: AttemptOutcome<unknown>): string | undefined {
    const hint = this.hintOf(answer);
    if (hint === undefined) return undefined;
    // A hint at a member that owes an answer is old: who leads next is known soon, so it is asked for.
    if (this.tries.has(hint)) {
      this.awaited = hint;
      return undefined;
    }
    if (this.followed.has(hint)) return undefined;
    this.followed.add(hint);
    return hint;
  }

  /** Whether an answer that comes during a pause is worth reading at once. */
  endsPause(answer: AttemptOutcome<unknown>): boolean {
    return 'response' in answer || 'refused' in answer || this.isAwaitedLost(answer);
  }

  notePause(): void {
    this.followed.clear();
  }

  /** An awaited leader whose connection was lost is asked again itself: the link is mostly up already. */
  private hintOf(answer: AttemptOutcome<unknown>): string | undefined {
    if ('leaderAddress' in answer && answer.leaderAddress !== undefined) {
      return answer.leaderAddress;
    }
    if (!this.isAwaitedLost(answer)) return undefined;
    this.awaited = undefined;
    return answer.address;
  }

  private isAwaitedLost({ isLost, address }: AttemptOutcome<unknown>): boolean {
    return isLost && address === this.awaited;
  }
}
