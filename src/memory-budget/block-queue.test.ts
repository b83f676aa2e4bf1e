/** Queueing of bytes in blocks. */
import { describe, expect, it } from 'vitest';
import { BlockQueue } from './block-queue.js';

function blocksOf(queue: BlockQueue): Buffer[] {
  const blocks: Buffer[] = [];
  for (let block = queue.shift(); block; block = queue.shift()) blocks.push(block);
  return blocks;
}

describe('a queue of blocks', () => {
  // Guards against a buffer for each small chunk, which takes some hundred bytes beside its content.
  it('holds many small chunks in few blocks', () => {
    const queue = new BlockQueue();
    for (let index = 0; index < 50_000; index += 1) queue.push(Buffer.from([index % 256]));
    const blocks = blocksOf(queue);
    expect(blocks.length).toBeLessThan(10);
    expect(Buffer.concat(blocks).every((byte, index) => byte === index % 256)).toBe(true);
    expect([queue.heldBytes, queue.isEmpty]).toEqual([0, true]);
  });

  it('keeps the order of small and large chunks', () => {
    const queue = new BlockQueue();
    const chunks = ['a', 'b'.repeat(20_000), 'c', '', 'd'.repeat(9_000), 'e', 'f'];
    for (const chunk of chunks) queue.push(Buffer.from(chunk));
    expect(queue.takeAll().toString()).toBe(chunks.join(''));
    expect([queue.heldBytes, queue.isEmpty]).toEqual([0, true]);
  });

  // Guards against a chunk that is written over what was handed out before.
  it('does not change blocks that were taken', () => {
    const queue = new BlockQueue();
    for (const chunk of ['first', 'second']) queue.push(Buffer.from(chunk));
    const taken = blocksOf(queue);
    queue.push(Buffer.from('third'));
    queue.push(Buffer.from('fourth'));
    expect(Buffer.concat(taken).toString()).toBe('firstsecond');
    expect(queue.takeAll().toString()).toBe('thirdfourth');
  });
});
