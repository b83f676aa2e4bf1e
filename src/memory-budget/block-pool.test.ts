/** Blocks that are dropped and allocated again left a multiple of what was held outside the heap. */
import { describe, expect, it } from 'vitest';
import { BlockPool, POOLED_BLOCK_BYTES } from './block-pool.js';

describe('a pool of blocks', () => {
  it('hands out a block again that was given back', () => {
    const pool = new BlockPool();
    const block = pool.take();
    pool.giveBack(block);
    expect(pool.freeBytes).toBe(POOLED_BLOCK_BYTES);
    expect(pool.take()).toBe(block);
    expect(pool.freeBytes).toBe(0);
  });

  it('keeps no buffer of another size', () => {
    const pool = new BlockPool();
    pool.giveBack(Buffer.alloc(POOLED_BLOCK_BYTES - 1));
    expect(pool.freeBytes).toBe(0);
  });

  it('keeps a bounded number of unused blocks, and none once it is trimmed', () => {
    const pool = new BlockPool();
    const block = Buffer.alloc(POOLED_BLOCK_BYTES);
    for (let count = 0; count < 1_000; count += 1) pool.giveBack(block);
    expect(pool.freeBytes).toBe(16 * 1024 * 1024);
    pool.trim();
    expect(pool.freeBytes).toBe(0);
  });
});
