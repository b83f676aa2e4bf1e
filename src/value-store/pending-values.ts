/** Values that are not written yet, in the order in which they came. */

export interface PendingValue {
  key: string;
  value: Buffer;
  /** Rises with every value that is put. */
  sequence: number;
}

export class PendingValues {
  private readonly values = new Map<string, PendingValue>();
  private latest = 0;
  /** Bytes of all values together. */
  bytes = 0;

  get size(): number {
    return this.values.size;
  }

  /** Sequence of the value that came last. */
  get latestSequence(): number {
    return this.latest;
  }

  /** Whether values up to and with a sequence have all been written or dropped. */
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

  /** The oldest values, up to so many bytes but at least one; they stay until they are dropped. */
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

  /** @returns whether it was still pending */
  drop(key: string): boolean {
    const pending = this.values.get(key);
    if (!pending) return false;
    this.values.delete(key);
    this.bytes -= pending.value.length;
    return true;
  }
}
