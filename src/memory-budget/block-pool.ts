/**
 * Blocks that are used again. Blocks that live for some time are collected late, so that new ones for each answer would leave
 * a multiple of what is held outside the heap.
 */

/** Size of each block, in bytes. */
export const POOLED_BLOCK_BYTES = 64 * 1024;
/** Maximum size of the unused blocks, in bytes. */
const MAX_FREE_BYTES = 16 * 1024 * 1024;
/** Time without use after which the unused blocks are freed, in milliseconds. */
const TRIM_AFTER_MS = 2_000;

export class BlockPool {
  private readonly free: Buffer[] = [];
  private trimTimer: NodeJS.Timeout | undefined;

  /** Size of the unused blocks, in bytes. */
  get freeBytes(): number {
    return this.free.length * POOLED_BLOCK_BYTES;
  }

  /** Returns a block with any content. */
  take(): Buffer {
    return this.free.pop() ?? Buffer.allocUnsafeSlow(POOLED_BLOCK_BYTES);
  }

  /** The block must not be used any more by its owner. Buffers of other sizes are ignored. */
  giveBack(block: Buffer): void {
    if (block.length !== POOLED_BLOCK_BYTES || this.freeBytes >= MAX_FREE_BYTES) return;
    this.free.push(block);
    if (this.trimTimer) this.trimTimer.refresh();
    else this.trimTimer = setTimeout(() => this.trim(), TRIM_AFTER_MS).unref();
  }

  /** Frees the unused blocks. */
  trim(): void {
    clearTimeout(this.trimTimer);
    this.trimTimer = undefined;
    this.free.length = 0;
  }
}

/** The pool of this process. */
export const processBlockPool = new BlockPool();
