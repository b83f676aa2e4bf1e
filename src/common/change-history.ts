/** Records which entries changed at which log index, so that updates carry only what has changed. */

interface RecordedChange {
  index: number;
  id: string;
}

/** A watcher that lags by more changes gets the whole state. */
const RETAINED_CHANGES = 4_000;

export class ChangeHistory {
  /** Oldest first. */
  private changes: RecordedChange[] = [];
  /** All changes after this index are recorded. */
  private completeAfter = 0;

  /** @param retainedChanges minimum number of changes that are retained */
  constructor(private readonly retainedChanges = RETAINED_CHANGES) {}

  /** @param index not lower than in earlier calls */
  record(index: number, id: string): void {
    this.changes.push({ index, id });
    // Trims in large steps, because each trim copies the retained changes.
    if (this.changes.length > 2 * this.retainedChanges) this.dropOldest();
  }

  /** Discards the history, for example after a snapshot was restored at `index`. */
  reset(index: number): void {
    this.changes = [];
    this.completeAfter = index;
  }

  /** Ids that changed after an index; undefined if the history does not reach back that far. */
  changedAfter(index: number): Set<string> | undefined {
    if (index < this.completeAfter) return undefined;
    const ids = new Set<string>();
    for (let position = this.changes.length - 1; position >= 0; position -= 1) {
      const change = this.changes[position]!;
      if (change.index <= index) break;
      ids.add(change.id);
    }
    return ids;
  }

  private dropOldest(): void {
    const dropped = this.changes.length - this.retainedChanges;
    this.completeAfter = this.changes[dropped - 1]!.index;
    this.changes = this.changes.slice(dropped);
  }
}
