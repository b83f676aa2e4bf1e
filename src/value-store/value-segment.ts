/** One segment file of a value store: its name, what it holds, and the index beside it. */
import { crc32 } from 'node:zlib';
import { decodeValue, encodeValue } from '../wire/index.js';
import type { SegmentIndexEntry } from './value-record.js';
import type { StoreFile } from './store-folder.js';

const PREFIX = 'values-';
const SEGMENT_SUFFIX = '.segment';
const INDEX_SUFFIX = '.index';
const NUMBER_DIGITS = 10;
const CHECKSUM_BYTES = 4;

export class ValueSegment {
  /** Bytes written so far. */
  bytes = 0;
  /** Bytes of records that are still wanted. */
  liveBytes = 0;
  /** Nothing is appended any more, and everything in it is synced. */
  isSealed = false;
  /** Open for as long as the segment is there. */
  file: StoreFile | undefined;

  constructor(readonly number: number) {}

  get name(): string {
    return `${this.stem}${SEGMENT_SUFFIX}`;
  }

  get indexName(): string {
    return `${this.stem}${INDEX_SUFFIX}`;
  }

  /** Bytes of records that nobody wants any more. */
  get deadBytes(): number {
    return this.bytes - this.liveBytes;
  }

  private get stem(): string {
    return `${PREFIX}${String(this.number).padStart(NUMBER_DIGITS, '0')}`;
  }
}

/** Numbers of the segments among the names of files, lowest first. */
export function segmentNumbers(names: readonly string[]): number[] {
  return numbersOf(names, SEGMENT_SUFFIX);
}

/** Numbers of the indexes among the names of files, lowest first. */
export function indexNumbers(names: readonly string[]): number[] {
  return numbersOf(names, INDEX_SUFFIX);
}

function numbersOf(names: readonly string[], suffix: string): number[] {
  return names
    .filter((name) => name.startsWith(PREFIX) && name.endsWith(suffix))
    .map((name) => Number(name.slice(PREFIX.length, -suffix.length)))
    .sort((left, right) => left - right);
}

/** Where a value stands. */
export interface ValueLocation {
  segment: ValueSegment;
  /** Place of the whole record, in bytes. */
  offset: number;
  length: number;
}

/** What an index file holds: field order is the format. */
type StoredIndex = [key: string, offset: number, length: number][];

/** The records of a sealed segment, so that a start need not read the segment. */
export function encodeIndex(records: readonly SegmentIndexEntry[]): Buffer {
  const stored: StoredIndex = records.map(({ key, offset, length }) => [key, offset, length]);
  const body = encodeValue(stored);
  const checksum = Buffer.alloc(CHECKSUM_BYTES);
  checksum.writeUInt32LE(crc32(body));
  return Buffer.concat([checksum, body]);
}

/** @returns undefined when the index is damaged, so that the segment must be read */
export function decodeIndex(bytes: Buffer): SegmentIndexEntry[] | undefined {
  if (bytes.length < CHECKSUM_BYTES) return undefined;
  const body = bytes.subarray(CHECKSUM_BYTES);
  if (crc32(body) !== bytes.readUInt32LE(0)) return undefined;
  const stored = decodeValue<StoredIndex>(body);
  return stored.map(([key, offset, length]) => ({ key, offset, length }));
}
