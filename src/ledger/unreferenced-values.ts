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
  bytes: number;
  /** Log index of the latest entry here that names it, if there is one. */
  loggedAt?: number;
}

export class UnreferencedValues {
  private readonly values = new Map<string, UnnamedValue>();
  /** Bytes of all values together. */
  bytes = 0;

  /** @param now the monotonic clock, in milliseconds */
  constructor(private readonly now: () => number = monotonicMs) {}

  has(turn: string): boolean {
    return this.values.has(turn);
  }

  /** A value was put, or is about to be. */
  markStored(turn: string, bytes: number): void {
    const loggedAt = this.values.get(turn)?.loggedAt;
    this.set(turn, { since: this.now(), bytes, loggedAt });
  }

  /** An entry that names it stands in this member's log. */
  markLogged(turn: string, index: number): void {
    const bytes = this.values.get(turn)?.bytes ?? 0;
    this.set(turn, { since: this.now(), bytes, loggedAt: index });
  }

  /** The entry at a log index was applied; one behind it may name the turn once more. */
  markApplied(turn: string, index: number): void {
    const { loggedAt = 0 } = this.values.get(turn) ?? {};
    if (loggedAt <= index) this.remove(turn);
  }

  /**
   * Forgets what was not named in time, and says what that is. An entry that is not applied, however old, may
   * still be committed; one that was replaced by another leader's shows by what is applied at its index.
   */
  expire(appliedIndex: number): string[] {
    const expired: string[] = [];
    const before = this.now() - LONGEST_WAIT_MS;
    for (const [turn, { since, loggedAt = 0 }] of this.values) {
      if (since > before || loggedAt > appliedIndex) continue;
      this.remove(turn);
      expired.push(turn);
    }
    return expired;
  }

  private set(turn: string, value: UnnamedValue): void {
    this.remove(turn);
    this.values.set(turn, value);
    this.bytes += value.bytes;
  }

  private remove(turn: string): void {
    this.bytes -= this.values.get(turn)?.bytes ?? 0;
    this.values.delete(turn);
  }
}
