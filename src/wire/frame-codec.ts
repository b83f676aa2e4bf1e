/** Frames of the internal protocol: a 4-byte big-endian length, then a MessagePack value. */
import { Packr, RESERVE_START_SPACE } from 'msgpackr';
import { FrameError } from './errors.js';

const LENGTH_BYTES = 4;

/** Maximum size of an accepted frame, in bytes. */
export const MAX_FRAME_BYTES = 64 * 1024 * 1024;

const packr = new Packr({ useRecords: false });

export function encodeValue(value: unknown): Buffer {
  return packr.pack(value);
}

/** Decodes a MessagePack buffer. The type is not checked. */
export function decodeValue<T>(bytes: Uint8Array): T {
  return packr.unpack(bytes) as T;
}

export function encodeFrame(value: unknown): Buffer {
  const frame = packr.pack(value, RESERVE_START_SPACE + LENGTH_BYTES);
  frame.writeUInt32BE(frame.length - LENGTH_BYTES, 0);
  return frame;
}

/** Splits a byte stream into frames. */
export class FrameDecoder {
  private chunks: Buffer[] = [];
  private buffered = 0;
  /** Bytes from which the next frame may be complete. */
  private needed = LENGTH_BYTES;

  constructor(private readonly peer: string) {}

  /** Whether part of an incomplete frame has been received. */
  get hasPartialFrame(): boolean {
    return this.buffered > 0;
  }

  /**
   * Adds received bytes and returns the values of completed frames.
   * @throws FrameError if a frame exceeds the maximum size or its body is not valid
   */
  push(chunk: Buffer): unknown[] {
    this.chunks.push(chunk);
    this.buffered += chunk.length;
    if (this.buffered < this.needed) return [];
    let bytes = this.chunks.length === 1 ? chunk : Buffer.concat(this.chunks);
    const values: unknown[] = [];
    this.needed = LENGTH_BYTES;
    while (bytes.length >= LENGTH_BYTES) {
      const length = bytes.readUInt32BE(0);
      if (length > MAX_FRAME_BYTES)
        throw this.error(`frame of ${length} bytes exceeds the maximum size`);
      const end = LENGTH_BYTES + length;
      if (bytes.length < end) {
        this.needed = end;
        break;
      }
      values.push(this.decode(bytes.subarray(LENGTH_BYTES, end)));
      bytes = bytes.subarray(end);
    }
    this.chunks = bytes.length === 0 ? [] : [bytes];
    this.buffered = bytes.length;
    return values;
  }

  private decode(body: Buffer): unknown {
    try {
      return packr.unpack(body);
    } catch (cause) {
      throw this.error('frame body is not valid MessagePack', cause);
    }
  }

  private error(message: string, cause?: unknown): FrameError {
    return new FrameError(message, { step: 'wire.decode', peer: this.peer, cause });
  }
}

/** Decodes concatenated frames. @throws FrameError if the last one is truncated */
export function decodeFrames(bytes: Uint8Array): unknown[] {
  const decoder = new FrameDecoder('stored frames');
  const values = decoder.push(Buffer.from(bytes.buffer, bytes.byteOffset, bytes.length));
  if (decoder.hasPartialFrame) {
    throw new FrameError('last frame is truncated', { step: 'wire.decode' });
  }
  return values;
}
