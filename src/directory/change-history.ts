/** Which parts of a state changed at which index, so that one who holds an earlier state is told only these. */

interface NotedChange {
  index: number;
  id: string;
}

/** One who is further behind is told the whole state. */
const KEPT_CHANGES = 4_000;

export class ChangeHistory {
  /** Oldest first. */
  private changes: NotedChange[] = [];
  /** All changes behind this index are noted. */
  private completeAfter = 0;

  /** @param keptChanges how many of the latest changes are kept at least */
  constructor(private readonly keptChanges = KEPT_CHANGES) {}

  /** @param index no lower than those before */
  record(index: number, id: string): void {
    this.changes.push({ index, id });
    // In large steps, since each takes as long as what is kept.
    if (this.changes.length > 2 * this.keptChanges) this.dropOldest();
  }

  /** Nothing is known of how the state came to be what it is at an index. */
  reset(index: number): void {
    this.changes = [];
    this.completeAfter = index;
  }

  /** What changed behind an index; nothing when that isn't known any more. */
  changedAfter(index: number): Set<string> | undefined {
    if (index < this.completeAfter) return undefined;
    const ids = new Set<string>();
    for (let place = this.changes.length - 1; place >= 0; place -= 1) {
      const change = this.changes[place]!;
      if (change.index <= index) break;
      ids.add(change.id);
    }
    return ids;
  }

  private dropOldest(): void {
    const dropped = this.changes.length - this.keptChanges;
    this.completeAfter = this.changes[dropped - 1]!.index;
    this.changes = this.changes.slice(dropped);
  }
}
