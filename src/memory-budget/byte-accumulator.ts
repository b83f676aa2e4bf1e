/**
 * Collects bytes that arrive in chunks of any size. Each byte is copied once, into blocks that grow with the content, so that
 * neither a chunk's larger buffer nor an object for each small chunk stays in memory.
 */

import { POOLED_BLOCK_BYTES, processBlockPool } from './block-pool.js';

/** A chunk of at least this part of the content has a block of its own size. */
const OWN_BLOCK_FRACTION = 0.25;
/** Content of at least this size is kept in pooled blocks, whose unused part is small beside it. */
const POOLED_CONTENT_BYTES = 4 * POOLED_BLOCK_BYTES;

const EMPTY = Buffer.alloc(0);

export class ByteAccumulator {
  private readonly fullBlocks: Buffer[] = [];
  private lastBlock: Buffer = EMPTY;
  private lastLength = 0;
  private fullBytes = 0;

  /** Number of collected bytes. */
  get length(): number {
    return this.fullBytes + this.lastLength;
  }

  get isEmpty(): boolean {
    return this.length === 0;
  }

  /** Size of all blocks, including the unused part of the last one. */
  get heldBytes(): number {
    return this.fullBytes + this.lastBlock.length;
  }

  append(chunk: Uint8Array): void {
    let rest = chunk;
    for (;;) {
      const fitting = rest.subarray(0, this.lastBlock.length - this.lastLength);
      this.copy(fitting);
      rest = rest.subarray(fitting.length);
      if (rest.length === 0) return;
      this.addBlock(rest.length);
    }
  }

  /** The last bytes, or all of them if there are fewer. */
  tail(count: number): Buffer {
    const parts: Buffer[] = [this.lastBlock.subarray(0, this.lastLength)];
    let bytes = this.lastLength;
    for (let index = this.fullBlocks.length - 1; index >= 0 && bytes < count; index -= 1) {
      const block = this.fullBlocks[index]!;
      parts.unshift(block);
      bytes += block.length;
    }
    const last = parts.length === 1 ? parts[0]! : Buffer.concat(parts);
    return last.subarray(Math.max(0, bytes - count));
  }

  /** Removes the content and returns it, followed by `end`. */
  take(end: Uint8Array = EMPTY): Buffer {
    const last = this.lastBlock.subarray(0, this.lastLength);
    const content = Buffer.concat([...this.fullBlocks, last, end]);
    this.clear();
    return content;
  }

  clear(): void {
    for (const block of this.fullBlocks) processBlockPool.giveBack(block);
    processBlockPool.giveBack(this.lastBlock);
    this.fullBlocks.length = 0;
    this.fullBytes = 0;
    this.lastBlock = EMPTY;
    this.lastLength = 0;
  }

  private copy(chunk: Uint8Array): void {
    this.lastBlock.set(chunk, this.lastLength);
    this.lastLength += chunk.length;
  }

  /** The last block must be full. */
  private addBlock(bytes: number): void {
    if (this.lastLength > 0) this.fullBlocks.push(this.lastBlock);
    this.fullBytes += this.lastLength;
    this.lastBlock = this.createBlock(bytes);
    this.lastLength = 0;
  }

  /** @param bytes number of bytes to come */
  private createBlock(bytes: number): Buffer {
    if (this.fullBytes + bytes >= POOLED_CONTENT_BYTES) return processBlockPool.take();
    const isLarge = bytes >= this.fullBytes * OWN_BLOCK_FRACTION;
    return Buffer.allocUnsafeSlow(
      isLarge ? bytes : Math.max(bytes, Math.min(this.fullBytes, POOLED_BLOCK_BYTES)),
    );
  }
}
