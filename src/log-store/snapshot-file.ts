/**
 * Snapshot file, written and read in pieces so that the state is never held in memory twice:
 *
 *     checksum (4 bytes) | length of the head (4 bytes) | head | state
 *
 * Integers are little-endian. The checksum is the CRC-32 of everything after it.
 */
import { type FileHandle, open } from 'node:fs/promises';
import { crc32 } from 'node:zlib';
import { decodeValue, encodeValue } from '../wire/frame-codec.js';
import { readBytes } from './data-folder.js';
import { DamagedLogError } from './errors.js';
import type { SnapshotMark } from './records.js';

const CHECKSUM_BYTES = 4;
const LENGTH_BYTES = 4;
const PRELUDE_BYTES = CHECKSUM_BYTES + LENGTH_BYTES;

/** Metadata before the state. */
export interface SnapshotHead extends SnapshotMark {
  /** Encoded group configuration at `index`. */
  configuration: Uint8Array;
}

/** A snapshot to write; its state is encoded lazily in pieces. */
export interface SnapshotSource extends SnapshotHead {
  pieces: Iterable<Uint8Array>;
}

/** Writes a snapshot to an empty file. */
export async function writeSnapshot(file: FileHandle, source: SnapshotSource): Promise<void> {
  const { index, term, configuration } = source;
  const head = encodeValue({ index, term, configuration });
  const length = Buffer.alloc(LENGTH_BYTES);
  length.writeUInt32LE(head.length);
  let checksum = crc32(head, crc32(length));
  await file.writeFile(Buffer.concat([Buffer.alloc(CHECKSUM_BYTES), length, head]));
  for (const piece of source.pieces) {
    checksum = crc32(piece, checksum);
    await file.writeFile(piece);
  }
  const checksumBytes = Buffer.alloc(CHECKSUM_BYTES);
  checksumBytes.writeUInt32LE(checksum);
  await file.write(checksumBytes, 0, CHECKSUM_BYTES, 0);
}

/** Reads a snapshot sequentially. The file may be replaced while it is open. */
export class SnapshotReader {
  private checksum: number;
  private offset = 0;

  private constructor(
    private readonly path: string,
    private readonly file: FileHandle,
    readonly head: SnapshotHead,
    private readonly expectedChecksum: number,
    checksumOfHead: number,
    private readonly stateStart: number,
    /** Size of the state, in bytes. */
    readonly stateBytes: number,
  ) {
    this.checksum = checksumOfHead;
  }

  /**
   * @returns undefined if the file does not exist
   * @throws DamagedLogError if the file ends within its head
   */
  static async open(path: string): Promise<SnapshotReader | undefined> {
    let file: FileHandle;
    try {
      file = await open(path, 'r');
    } catch (error) {
      if ((error as NodeJS.ErrnoException).code === 'ENOENT') return undefined;
      throw error;
    }
    try {
      return await SnapshotReader.readHead(path, file);
    } catch (error) {
      await file.close();
      throw error;
    }
  }

  private static async readHead(path: string, file: FileHandle): Promise<SnapshotReader> {
    const { size } = await file.stat();
    const prelude = await readOrDamaged(file, path, 0, Math.min(size, PRELUDE_BYTES));
    if (prelude.length < PRELUDE_BYTES) throw damaged(path);
    const headBytes = prelude.readUInt32LE(CHECKSUM_BYTES);
    const stateStart = PRELUDE_BYTES + headBytes;
    if (stateStart > size) throw damaged(path);
    const head = await readOrDamaged(file, path, PRELUDE_BYTES, headBytes);
    const checksum = crc32(head, crc32(prelude.subarray(CHECKSUM_BYTES)));
    return new SnapshotReader(
      path,
      file,
      decodeHead(path, head),
      prelude.readUInt32LE(0),
      checksum,
      stateStart,
      size - stateStart,
    );
  }

  /**
   * Reads the next bytes of the state; empty at the end.
   * @throws DamagedLogError after the last bytes if the checksum does not match
   */
  async read(maximumBytes: number): Promise<Buffer> {
    const length = Math.min(maximumBytes, this.stateBytes - this.offset);
    const position = this.stateStart + this.offset;
    const bytes = await readOrDamaged(this.file, this.path, position, length);
    this.offset += length;
    this.checksum = crc32(bytes, this.checksum);
    const isEnd = this.offset === this.stateBytes;
    if (isEnd && this.checksum !== this.expectedChecksum) throw damaged(this.path);
    return bytes;
  }

  close(): Promise<void> {
    return this.file.close();
  }
}

async function readOrDamaged(
  file: FileHandle,
  path: string,
  position: number,
  length: number,
): Promise<Buffer> {
  const bytes = await readBytes(file, position, length);
  if (!bytes) throw damaged(path);
  return bytes;
}

function decodeHead(path: string, bytes: Buffer): SnapshotHead {
  try {
    return decodeValue<SnapshotHead>(bytes);
  } catch (cause) {
    throw damaged(path, cause);
  }
}

function damaged(path: string, cause?: unknown): DamagedLogError {
  return new DamagedLogError('snapshot is damaged', { step: 'snapshot.read', peer: path, cause });
}
