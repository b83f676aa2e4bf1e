/**
 * Tracks expired turns whose values a snapshot may still refer to: those that this member still holds, and those that
 * it never got because other members had reported the turns as expired.
 */

export class ExpiredValues {
  /** Index of the entry whose application ended the turn, by turn id. */
  private readonly held = new Map<string, number>();
  /** Index of the latest entry or snapshot that refers to the turn, by turn id. */
  private readonly reported = new Map<string, number>();

  /** Number of expired turns whose values this member still holds. */
  get heldCount(): number {
    return this.held.size;
  }

  holds(turn: string): boolean {
    return this.held.has(turn);
  }

  /** Records that a turn whose value this member holds has expired at a log index. */
  markHeld(turn: string, index: number): void {
    this.held.set(turn, index);
  }

  /** Removes and returns the turns that expired up to a log index. */
  takeHeldUpTo(index: number): string[] {
    const turns = [...this.held].filter(([, endIndex]) => endIndex <= index).map(([turn]) => turn);
    for (const turn of turns) this.held.delete(turn);
    return turns;
  }

  /** Whether a turn has expired in the state of another member, which may be ahead of this one. */
  isReported(turn: string): boolean {
    return this.reported.has(turn);
  }

  /** Records the report of another member about a turn that the entry or snapshot at `index` refers to. */
  markReported(turn: string, index: number): void {
    this.reported.set(turn, Math.max(index, this.reported.get(turn) ?? 0));
  }

  /** Forgets a report because the turn is kept again, or has expired in this member's state as well. */
  forgetReport(turn: string): void {
    this.reported.delete(turn);
  }

  /** Forgets reports about entries up to the applied index whose turns are not in the state. */
  forgetReportsUpTo(appliedIndex: number, isKept: (turn: string) => boolean): void {
    for (const [turn, index] of this.reported) {
      if (index <= appliedIndex && !isKept(turn)) this.reported.delete(turn);
    }
  }
}
