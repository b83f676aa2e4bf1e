/**
 * Records of a value segment, one a value, little endian:
 *
 *     magic (4 bytes) | checksum (4) | bytes of the key (2) | bytes of the value (4) | key | value
 *
 * The checksum is the CRC-32 of everything behind it. The magic lets a reader find the next record
 * behind a damaged one.
 */
import { crc32 } from 'node:zlib';

const MAGIC = Buffer.from('LGV1');
const CHECKSUM_AT = 4;
const KEY_LENGTH_AT = 8;
const VALUE_LENGTH_AT = 10;
export const RECORD_HEADER_BYTES = 14;
/** Longest key, in bytes: what its length field can say. */
export const MAX_KEY_BYTES = 0xffff;

/** Bytes of a value's whole record. */
export function encodedRecordLength(key: string, value: Uint8Array): number {
  return RECORD_HEADER_BYTES + Buffer.byteLength(key) + value.length;
}

/** @throws RangeError when the key is longer than a record can say */
export function encodeValueRecord(key: string, value: Uint8Array): Buffer {
  const keyBytes = Buffer.byteLength(key);
  if (keyBytes > MAX_KEY_BYTES) throw new RangeError(`key of ${keyBytes} bytes is too long`);
  const record = Buffer.allocUnsafe(RECORD_HEADER_BYTES + keyBytes + value.length);
  MAGIC.copy(record);
  record.writeUInt16LE(keyBytes, KEY_LENGTH_AT);
  record.writeUInt32LE(value.length, VALUE_LENGTH_AT);
  record.write(key, RECORD_HEADER_BYTES);
  record.set(value, RECORD_HEADER_BYTES + keyBytes);
  record.writeUInt32LE(crc32(record.subarray(KEY_LENGTH_AT)), CHECKSUM_AT);
  return record;
}

export interface ValueRecord {
  key: string;
  /** A view of the bytes that were decoded. */
  value: Buffer;
  /** Offset of the byte after the record. */
  end: number;
}

/** The record at `offset`; undefined when no whole, undamaged record is there. */
export function decodeValueRecord(bytes: Buffer, offset: number): ValueRecord | undefined {
  if (offset + RECORD_HEADER_BYTES > bytes.length) return undefined;
  if (!bytes.subarray(offset, offset + MAGIC.length).equals(MAGIC)) return undefined;
  const valueStart = offset + RECORD_HEADER_BYTES + bytes.readUInt16LE(offset + KEY_LENGTH_AT);
  const end = valueStart + bytes.readUInt32LE(offset + VALUE_LENGTH_AT);
  if (end > bytes.length) return undefined;
  const checksum = crc32(bytes.subarray(offset + KEY_LENGTH_AT, end));
  if (checksum !== bytes.readUInt32LE(offset + CHECKSUM_AT)) return undefined;
  const key = bytes.toString('utf8', offset + RECORD_HEADER_BYTES, valueStart);
  return { key, value: bytes.subarray(valueStart, end), end };
}

/** A record's place in its segment, in bytes. */
export interface SegmentIndexEntry {
  key: string;
  offset: number;
  length: number;
}

/** All undamaged records of a segment; what is damaged or torn between them is skipped. */
export function scanValueRecords(bytes: Buffer): SegmentIndexEntry[] {
  const records: SegmentIndexEntry[] = [];
  let offset = 0;
  while (offset >= 0 && offset < bytes.length) {
    const record = decodeValueRecord(bytes, offset);
    if (record) {
      records.push({ key: record.key, offset, length: record.end - offset });
      offset = record.end;
    } else {
      offset = bytes.indexOf(MAGIC, offset + 1);
    }
  }
  return records;
}
