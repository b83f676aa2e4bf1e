/** Segment files of a value store and their index files. */
import { crc32 } from 'node:zlib';
import { decodeValue, encodeValue } from '../wire/index.js';
import type { SegmentIndexEntry } from './value-record.js';
import type { StoreFile } from './store-folder.js';

const NAME_PREFIX = 'values-';
const SEGMENT_SUFFIX = '.segment';
const INDEX_SUFFIX = '.index';
const NUMBER_DIGITS = 10;
const CHECKSUM_BYTES = 4;

export class ValueSegment {
  /** Bytes written so far. */
  bytes = 0;
  /** Bytes of live records. */
  liveBytes = 0;
  /** Whether the segment is immutable and fully synced. */
  isSealed = false;
  /** Open until the segment is removed. */
  file: StoreFile | undefined;

  constructor(readonly number: number) {}

  get name(): string {
    return `${this.stem}${SEGMENT_SUFFIX}`;
  }

  get indexName(): string {
    return `${this.stem}${INDEX_SUFFIX}`;
  }

  /** Bytes of deleted or superseded records. */
  get deadBytes(): number {
    return this.bytes - this.liveBytes;
  }

  private get stem(): string {
    return `${NAME_PREFIX}${String(this.number).padStart(NUMBER_DIGITS, '0')}`;
  }
}

/** Segment numbers found among file names, in ascending order. */
export function segmentNumbers(names: readonly string[]): number[] {
  return numbersOf(names, SEGMENT_SUFFIX);
}

/** Index numbers found among file names, in ascending order. */
export function indexNumbers(names: readonly string[]): number[] {
  return numbersOf(names, INDEX_SUFFIX);
}

function numbersOf(names: readonly string[], suffix: string): number[] {
  return names
    .filter((name) => name.startsWith(NAME_PREFIX) && name.endsWith(suffix))
    .map((name) => Number(name.slice(NAME_PREFIX.length, -suffix.length)))
    .sort((left, right) => left - right);
}

/** Location of a value on disk. */
export interface ValueLocation {
  segment: ValueSegment;
  /** Offset of the whole record, in bytes. */
  offset: number;
  length: number;
}

/** Content of an index file. The field order is part of the format. */
type StoredIndex = [key: string, offset: number, length: number][];

/** Encodes the index of a sealed segment, so that recovery need not scan the segment. */
export function encodeIndex(records: readonly SegmentIndexEntry[]): Buffer {
  const stored: StoredIndex = records.map(({ key, offset, length }) => [key, offset, length]);
  const body = encodeValue(stored);
  const checksum = Buffer.alloc(CHECKSUM_BYTES);
  checksum.writeUInt32LE(crc32(body));
  return Buffer.concat([checksum, body]);
}

/** @returns undefined if the index is corrupt and the segment must be scanned */
export function decodeIndex(bytes: Buffer): SegmentIndexEntry[] | undefined {
  if (bytes.length < CHECKSUM_BYTES) return undefined;
  const body = bytes.subarray(CHECKSUM_BYTES);
  if (crc32(body) !== bytes.readUInt32LE(0)) return undefined;
  const stored = decodeValue<StoredIndex>(body);
  return stored.map(([key, offset, length]) => ({ key, offset, length }));
}
