/**
 * Adaptive limit on the bytes of uncommitted commands of a leader. Bounds commit latency, and the
 * backlog that a new leader takes over.
 */
import { monotonicMs } from '../common/index.js';

/** A smaller window would leave links and disks idle when latency is dominated by slow syncs. */
const MIN_WINDOW_BYTES = 128 * 1024;
const INITIAL_WINDOW_BYTES = 512 * 1024;
const MAX_WINDOW_BYTES = 8 * 1024 * 1024;
/** Factor applied to the window when a commit exceeds the target latency. */
const SHRINK_FACTOR = 0.7;

export class CommitWindow {
  private limitBytes = INITIAL_WINDOW_BYTES;
  private inFlightBytes = 0;
  private shrunkAt = Number.NEGATIVE_INFINITY;

  /** @param targetMs target latency from append to commit, in milliseconds */
  constructor(private readonly targetMs: number) {}

  get bytes(): number {
    return this.limitBytes;
  }

  /** Whether a command fits the window. A single command is always admitted, whatever its size. */
  hasRoom(bytes: number): boolean {
    return this.inFlightBytes === 0 || this.inFlightBytes + bytes <= this.limitBytes;
  }

  take(bytes: number): void {
    this.inFlightBytes += bytes;
  }

  /** Records that a command was committed `tookMs` after its append. */
  noteCommitted(bytes: number, tookMs: number): void {
    const wasUsed = this.inFlightBytes > this.limitBytes / 2;
    this.inFlightBytes -= bytes;
    if (tookMs > this.targetMs) this.shrink();
    else if (wasUsed && tookMs < this.targetMs / 2) {
      this.limitBytes = Math.min(MAX_WINDOW_BYTES, this.limitBytes + bytes);
    }
  }

  /** Resets the window when leadership ends. */
  clear(): void {
    this.inFlightBytes = 0;
  }

  /** Shrinks at most once per target latency, so that commands in flight together count once. */
  private shrink(): void {
    const now = monotonicMs();
    if (now - this.shrunkAt < this.targetMs) return;
    this.shrunkAt = now;
    this.limitBytes = Math.max(MIN_WINDOW_BYTES, this.limitBytes * SHRINK_FACTOR);
  }
}
