/** Frames that arrive in parts. */
import { describe, expect, it } from 'vitest';
import { FrameDecoder, encodeFrame } from './frame-codec.js';

const CHUNK_BYTES = 64 * 1024;

describe('a frame in many parts', () => {
  // All that was received of it was copied with each part.
  it('is put together once', () => {
    const value = 'x'.repeat(4 * 1024 * 1024);
    const frame = Buffer.concat([encodeFrame(value), encodeFrame('next')]);
    const decoder = new FrameDecoder('test');
    const values: unknown[] = [];
    const concat = Buffer.concat;
    let copiedBytes = 0;
    Buffer.concat = (parts, length) => {
      const whole = concat(parts, length);
      copiedBytes += whole.length;
      return whole;
    };
    try {
      for (let start = 0; start < frame.length; start += CHUNK_BYTES)
        values.push(...decoder.push(frame.subarray(start, start + CHUNK_BYTES)));
    } finally {
      Buffer.concat = concat;
    }
    expect(values).toEqual([value, 'next']);
    expect(copiedBytes).toBeLessThan(1.1 * frame.length);
  });
});
