/** In-memory state of one group in the write-ahead log, rebuilt during recovery. */
import type { HardState, LogEntry, LogRecord, SnapshotMark } from './records.js';

export class GroupLogState {
  hardState: HardState = { term: 0, votedFor: undefined };
  snapshot: SnapshotMark = { index: 0, term: 0 };
  /** Entries after the snapshot, in order. Contiguous except during recovery. */
  entries: LogEntry[] = [];
  /** Total size of the entries' data, in bytes. */
  heldBytes = 0;

  get lastIndex(): number {
    return this.snapshot.index + this.entries.length;
  }

  get lastTerm(): number {
    return this.entries.at(-1)?.term ?? this.snapshot.term;
  }

  /** The term of the entry at `index`; undefined if the entry is not in the log. */
  termAt(index: number): number | undefined {
    if (index === this.snapshot.index) return this.snapshot.term;
    return this.entryAt(index)?.term;
  }

  entryAt(index: number): LogEntry | undefined {
    return this.entries[index - this.snapshot.index - 1];
  }

  /** Entries from `fromIndex`, up to `maximumBytes` of data but at least one. */
  slice(fromIndex: number, maximumBytes: number): LogEntry[] {
    const result: LogEntry[] = [];
    let bytes = 0;
    for (let index = fromIndex; index <= this.lastIndex; index += 1) {
      const entry = this.entryAt(index);
      if (!entry) break;
      bytes += entry.data.length;
      if (result.length > 0 && bytes > maximumBytes) break;
      result.push(entry);
    }
    return result;
  }

  /**
   * Whether a snapshot mark drops all entries because the log has a different entry, or none, at
   * its index.
   */
  isContradictedBy({ index, term }: SnapshotMark): boolean {
    return this.entries.length > 0 && index > this.snapshot.index && this.termAt(index) !== term;
  }

  /** Applies a record. Records must be applied in log order. */
  apply(record: LogRecord): void {
    switch (record.kind) {
      case 'entries':
        this.append(record.entries);
        break;
      case 'hard-state':
        this.hardState = record.state;
        break;
      case 'truncate':
        this.truncateFrom(record.fromIndex);
        break;
      case 'snapshot':
        this.compact(record.mark);
        break;
      case 'sync-marker':
        break;
    }
  }

  private append(entries: LogEntry[]): void {
    for (const entry of entries) {
      if (entry.index <= this.snapshot.index) continue;
      this.truncateFrom(entry.index);
      this.entries.push(entry);
      this.heldBytes += entry.data.length;
    }
  }

  /**
   * During recovery, segments covered by a later snapshot are missing, so the first entry may be
   * far after the known snapshot. It keeps its position, and the gap stays empty.
   */
  private truncateFrom(index: number): void {
    const keptCount = Math.max(0, index - this.snapshot.index - 1);
    if (keptCount < this.entries.length) this.heldBytes -= bytesOf(this.entries.slice(keptCount));
    this.entries.length = keptCount;
  }

  /**
   * A missing entry before existing ones was in a segment that a later snapshot allowed to be
   * removed, so the entries after it match the mark. Dropping them would leave a gap after the
   * snapshot.
   */
  private compact(mark: SnapshotMark): void {
    if (mark.index <= this.snapshot.index) return;
    const isGone = mark.index < this.lastIndex && this.entryAt(mark.index) === undefined;
    const matches = isGone || this.termAt(mark.index) === mark.term;
    this.entries = matches ? this.entries.slice(mark.index - this.snapshot.index) : [];
    this.heldBytes = bytesOf(this.entries);
    this.snapshot = mark;
  }
}

function bytesOf(entries: readonly LogEntry[]): number {
  return entries.reduce((sum, { data }) => sum + data.length, 0);
}
