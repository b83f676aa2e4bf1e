/**
 * How many bytes of commands a leader has under way at a time: as many as the group commits within a
 * target. What is beyond that would only make all of it late, and be what the next leader inherits.
 */
import { monotonicMs } from '../common/index.js';

/**
 * Some large commands, or hundreds of small ones: fewer would leave links and disks idle between two
 * answers where the time goes into a slow sync and not into bytes.
 */
const MIN_WINDOW_BYTES = 128 * 1024;
const INITIAL_WINDOW_BYTES = 512 * 1024;
const MAX_WINDOW_BYTES = 8 * 1024 * 1024;
/** What is left of the window when a commit took longer than the target. */
const SHRINK_FACTOR = 0.7;

export class CommitWindow {
  private limitBytes = INITIAL_WINDOW_BYTES;
  private inFlightBytes = 0;
  private shrunkAt = Number.NEGATIVE_INFINITY;

  /** @param targetMs how long a command may take from the log to its commit, in milliseconds */
  constructor(private readonly targetMs: number) {}

  get bytes(): number {
    return this.limitBytes;
  }

  /** Whether a command may go to the log now; one alone always may. */
  hasRoom(bytes: number): boolean {
    return this.inFlightBytes === 0 || this.inFlightBytes + bytes <= this.limitBytes;
  }

  take(bytes: number): void {
    this.inFlightBytes += bytes;
  }

  /** A command was committed, `tookMs` after it went to the log. */
  noteCommitted(bytes: number, tookMs: number): void {
    const wasUsed = this.inFlightBytes > this.limitBytes / 2;
    this.inFlightBytes -= bytes;
    if (tookMs > this.targetMs) this.shrink();
    else if (wasUsed && tookMs < this.targetMs / 2) {
      this.limitBytes = Math.min(MAX_WINDOW_BYTES, this.limitBytes + bytes);
    }
  }

  /** Nothing is under way any more: leadership has ended. */
  clear(): void {
    this.inFlightBytes = 0;
  }

  /** Once for all commands that were under way together. */
  private shrink(): void {
    const now = monotonicMs();
    if (now - this.shrunkAt < this.targetMs) return;
    this.shrunkAt = now;
    this.limitBytes = Math.max(MIN_WINDOW_BYTES, this.limitBytes * SHRINK_FACTOR);
  }
}
