/** Adapts the size of append batches to the time that a follower takes to respond. */

/** Larger batches gain little: responses are already a small part of the transfer. */
const MAX_BATCH_BYTES = 1024 * 1024;
/**
 * Smaller batches cost more in round trips and syncs than they save in latency. At this size, a leader on a link of
 * 47 Mbit/s can send a batch to each of seven members within 80 ms.
 */
const MIN_BATCH_BYTES = 64 * 1024;
const INITIAL_BATCH_BYTES = 256 * 1024;

export class BatchLimit {
  private limitBytes = INITIAL_BATCH_BYTES;

  /** @param targetMs target response time of a batch, in milliseconds */
  constructor(private readonly targetMs: number) {}

  get bytes(): number {
    return this.limitBytes;
  }

  /** Records the response time of a batch, or the time after which it failed. */
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
