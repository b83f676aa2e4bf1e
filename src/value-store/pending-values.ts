/** Values that are not written yet, in insertion order. */

export interface PendingValue {
  key: string;
  value: Buffer;
  /** Increases with each added value. */
  sequence: number;
}

export class PendingValues {
  private readonly values = new Map<string, PendingValue>();
  private latest = 0;
  /** Total size of the values, in bytes. */
  bytes = 0;

  get size(): number {
    return this.values.size;
  }

  /** Sequence number of the latest added value. */
  get latestSequence(): number {
    return this.latest;
  }

  /** Whether all values up to and including a sequence number have been written or dropped. */
  isDrainedUpTo(sequence: number): boolean {
    for (const oldest of this.values.values()) return oldest.sequence > sequence;
    return true;
  }

  has(key: string): boolean {
    return this.values.has(key);
  }

  find(key: string): Buffer | undefined {
    return this.values.get(key)?.value;
  }

  add(key: string, value: Buffer): void {
    this.latest += 1;
    this.values.set(key, { key, value, sequence: this.latest });
    this.bytes += value.length;
  }

  /** Returns the oldest values, at least one and otherwise up to `maximumBytes`, without removing them. */
  oldest(maximumBytes: number): PendingValue[] {
    const batch: PendingValue[] = [];
    let bytes = 0;
    for (const pending of this.values.values()) {
      bytes += pending.value.length;
      if (batch.length > 0 && bytes > maximumBytes) break;
      batch.push(pending);
    }
    return batch;
  }

  /** @returns whether the value was pending */
  drop(key: string): boolean {
    const pending = this.values.get(key);
    if (!pending) return false;
    this.values.delete(key);
    this.bytes -= pending.value.length;
    return true;
  }
}
