import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { ByteAccumulator } from './byte-accumulator.js';

const BLOCK_BYTES = 64 * 1024;

describe('a byte accumulator', () => {
  it('returns the bytes and their tail as they were appended', () => {
    const chunks = fc.array(fc.uint8Array({ maxLength: 20 }), { maxLength: 30 });
    fc.assert(
      fc.property(chunks, fc.nat(30), (parts, count) => {
        const accumulator = new ByteAccumulator();
        for (const part of parts) accumulator.append(part);
        const whole = Buffer.concat(parts);
        expect(accumulator.length).toBe(whole.length);
        const tail = whole.subarray(Math.max(0, whole.length - count));
        expect(Buffer.from(accumulator.tail(count))).toEqual(tail);
        expect(accumulator.take(Buffer.from('end'))).toEqual(
          Buffer.concat([whole, Buffer.from('end')]),
        );
        expect([accumulator.length, accumulator.heldBytes]).toEqual([0, 0]);
      }),
    );
  });

  it('holds little more than the bytes, however small their chunks are', () => {
    const accumulator = new ByteAccumulator();
    for (let index = 0; index < 500_000; index += 1) accumulator.append(Buffer.of(index % 256));
    expect(accumulator.heldBytes).toBeLessThan(500_000 + BLOCK_BYTES);
  });

  it('does not keep the buffer of which a chunk is a part', () => {
    const accumulator = new ByteAccumulator();
    const received = Buffer.alloc(BLOCK_BYTES);
    accumulator.append(received.subarray(0, 10));
    expect(accumulator.heldBytes).toBe(10);
    expect(accumulator.take().buffer).not.toBe(received.buffer);
  });
});
