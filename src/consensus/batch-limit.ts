/** How many bytes of entries go to a follower at a time: what it takes within a fraction of an election. */

/** Beyond this a larger batch saves nothing: the answers are a small part of the way. */
const MAX_BATCH_BYTES = 1024 * 1024;
/**
 * Small enough that a leader on the slowest link that was met (47 Mbit/s) gets one to each of seven
 * members in 80 ms; smaller ones cost more in answers and syncs than they gain.
 */
const MIN_BATCH_BYTES = 64 * 1024;
const INITIAL_BATCH_BYTES = 256 * 1024;

export class BatchLimit {
  private limitBytes = INITIAL_BATCH_BYTES;

  /** @param targetMs how long a batch may take to be answered, in milliseconds */
  constructor(private readonly targetMs: number) {}

  get bytes(): number {
    return this.limitBytes;
  }

  /** A batch was answered after some time, or was not answered in it. */
  note(batchBytes: number, tookMs: number): void {
    if (tookMs > this.targetMs) this.shrink(Math.min(batchBytes, this.limitBytes), tookMs);
    else if (tookMs < this.targetMs / 2 && batchBytes > this.limitBytes / 2) this.grow();
  }

  private shrink(batchBytes: number, tookMs: number): void {
    const fitting = (batchBytes * this.targetMs) / tookMs;
    this.limitBytes = Math.max(MIN_BATCH_BYTES, Math.min(this.limitBytes, fitting));
  }

  private grow(): void {
    this.limitBytes = Math.min(MAX_BATCH_BYTES, this.limitBytes * 2);
  }
}
