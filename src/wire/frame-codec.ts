/** Frames of the internal protocol: a length of 4 bytes (big endian), then a MessagePack value. */
import { Packr } from 'msgpackr';
import { FrameError } from './errors.js';

const LENGTH_BYTES = 4;

/** The largest frame accepted, in bytes. */
export const MAX_FRAME_BYTES = 64 * 1024 * 1024;

const packr = new Packr({ useRecords: false });

/** Encodes one value as a MessagePack buffer. */
export function encodeValue(value: unknown): Buffer {
  return packr.pack(value);
}

/** Decodes a MessagePack buffer. The caller names the type it agreed on with the writer. */
export function decodeValue<T>(bytes: Uint8Array): T {
  return packr.unpack(bytes) as T;
}

/** Encodes one frame. */
export function encodeFrame(value: unknown): Buffer {
  const body = packr.pack(value);
  const frame = Buffer.allocUnsafe(LENGTH_BYTES + body.length);
  frame.writeUInt32BE(body.length, 0);
  body.copy(frame, LENGTH_BYTES);
  return frame;
}

/** Cuts a stream of bytes into frames. */
export class FrameDecoder {
  private chunks: Buffer[] = [];
  private buffered = 0;

  constructor(private readonly peer: string) {}

  /** Whether bytes of an unfinished frame were taken. */
  get hasPartialFrame(): boolean {
    return this.buffered > 0;
  }

  /**
   * Takes the next bytes and returns the values whose frames are complete.
   * @throws FrameError when a length is beyond the maximum or a body does not decode
   */
  push(chunk: Buffer): unknown[] {
    this.chunks.push(chunk);
    this.buffered += chunk.length;
    if (this.buffered < LENGTH_BYTES) return [];
    let bytes = this.chunks.length === 1 ? chunk : Buffer.concat(this.chunks);
    const values: unknown[] = [];
    while (bytes.length >= LENGTH_BYTES) {
      const length = bytes.readUInt32BE(0);
      if (length > MAX_FRAME_BYTES) throw this.error(`frame of ${length} bytes is too long`);
      const end = LENGTH_BYTES + length;
      if (bytes.length < end) break;
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
      throw this.error('frame body does not decode', cause);
    }
  }

  private error(message: string, cause?: unknown): FrameError {
    return new FrameError(message, { step: 'wire.decode', peer: this.peer, cause });
  }
}

/** Decodes frames that stand behind one another. @throws FrameError when the last one is cut off */
export function decodeFrames(bytes: Uint8Array): unknown[] {
  const decoder = new FrameDecoder('stored frames');
  const values = decoder.push(Buffer.from(bytes.buffer, bytes.byteOffset, bytes.length));
  if (decoder.hasPartialFrame) {
    throw new FrameError('the last frame is cut off', { step: 'wire.decode' });
  }
  return values;
}
