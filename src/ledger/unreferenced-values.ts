/**
 * Tracks values of turns that the state does not refer to yet, because the entry that refers to them has not
 * been applied. Values that are never referenced expire.
 */
import { monotonicMs } from '../common/index.js';

/** How long a value may wait for its entry, in milliseconds; well above the retry time of gateways. */
const MAX_WAIT_MS = 60_000;

interface UnnamedValue {
  since: number;
  bytes: number;
  /** Log index of the latest entry that refers to the value, if any. */
  loggedAt?: number;
}

export class UnreferencedValues {
  private readonly values = new Map<string, UnnamedValue>();
  /** Total size of the values, in bytes. */
  bytes = 0;

  /** @param now the monotonic clock, in milliseconds */
  constructor(private readonly now: () => number = monotonicMs) {}

  has(turn: string): boolean {
    return this.values.has(turn);
  }

  /** Records that a value is stored. */
  markStored(turn: string, bytes: number): void {
    const loggedAt = this.values.get(turn)?.loggedAt;
    this.set(turn, { since: this.now(), bytes, loggedAt });
  }

  /** Records that an entry in this member's log refers to the value. */
  markLogged(turn: string, index: number): void {
    const bytes = this.values.get(turn)?.bytes ?? 0;
    this.set(turn, { since: this.now(), bytes, loggedAt: index });
  }

  /** Records that the entry at a log index was applied; a later entry may still refer to the turn. */
  markApplied(turn: string, index: number): void {
    const { loggedAt = 0 } = this.values.get(turn) ?? {};
    if (loggedAt <= index) this.remove(turn);
  }

  /**
   * Removes and returns the values that were not referenced in time. Values of entries beyond the applied index are
   * retained, as these entries may still be committed.
   */
  expire(appliedIndex: number): string[] {
    const expired: string[] = [];
    const before = this.now() - MAX_WAIT_MS;
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
