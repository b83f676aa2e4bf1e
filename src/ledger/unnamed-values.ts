/**
 * Values of turns that the state does not name yet: they came from a gateway or another member before the
 * entry that names them was applied. What is never named goes after a while.
 */
import { monotonicMs } from '../common/index.js';

/**
 * How long a value may wait for its entry, in milliseconds: far beyond the time in which a gateway asks again
 * for a turn to be kept.
 */
const LONGEST_WAIT_MS = 60_000;

interface UnnamedValue {
  since: number;
  /** Log index of the latest entry here that names it, if there is one. */
  loggedAt?: number;
}

export class UnnamedValues {
  private readonly unnamed = new Map<string, UnnamedValue>();

  /** @param now the monotonic clock, in milliseconds */
  constructor(private readonly now: () => number = monotonicMs) {}

  get size(): number {
    return this.unnamed.size;
  }

  has(turn: string): boolean {
    return this.unnamed.has(turn);
  }

  /** A value was put, or is about to be. */
  noteHeld(turn: string): void {
    const known = this.unnamed.get(turn);
    this.unnamed.set(turn, { since: this.now(), loggedAt: known?.loggedAt });
  }

  /** An entry that names it stands in this member's log. */
  noteLogged(turn: string, index: number): void {
    this.unnamed.set(turn, { since: this.now(), loggedAt: index });
  }

  /** The entry was applied. */
  noteNamed(turn: string): void {
    this.unnamed.delete(turn);
  }

  /**
   * Forgets what was not named in time, and says what that is. An entry that is not applied, however old, may
   * still be committed; one that was replaced by another leader's shows by what is applied at its index.
   */
  expire(appliedIndex: number): string[] {
    const expired: string[] = [];
    const before = this.now() - LONGEST_WAIT_MS;
    for (const [turn, { since, loggedAt = 0 }] of this.unnamed) {
      if (since > before || loggedAt > appliedIndex) continue;
      this.unnamed.delete(turn);
      expired.push(turn);
    }
    return expired;
  }
}
