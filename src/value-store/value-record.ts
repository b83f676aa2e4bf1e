/**
 * Record format of value segments, little endian:
 *
 *     magic (4 bytes) | checksum (4) | key length (2) | value length (4) | key | value
 *
 * The checksum is the CRC-32 of all following bytes. The magic lets a scan resynchronize after a
 * corrupt record.
 */
import { crc32 } from 'node:zlib';

const MAGIC = Buffer.from('LGV1');
const CHECKSUM_OFFSET = 4;
const KEY_LENGTH_OFFSET = 8;
const VALUE_LENGTH_OFFSET = 10;
export const RECORD_HEADER_BYTES = 14;
/** Maximum key length in bytes, given by the length field. */
export const MAX_KEY_BYTES = 0xffff;

/** Size of a value's encoded record, in bytes. */
export function encodedRecordLength(key: string, value: Uint8Array): number {
  return RECORD_HEADER_BYTES + Buffer.byteLength(key) + value.length;
}

/** @throws RangeError when the key exceeds the maximum length */
export function encodeValueRecord(key: string, value: Uint8Array): Buffer {
  const keyBytes = Buffer.byteLength(key);
  if (keyBytes > MAX_KEY_BYTES)
    throw new RangeError(`key of ${keyBytes} bytes exceeds the maximum length`);
  const record = Buffer.allocUnsafe(RECORD_HEADER_BYTES + keyBytes + value.length);
  MAGIC.copy(record);
  record.writeUInt16LE(keyBytes, KEY_LENGTH_OFFSET);
  record.writeUInt32LE(value.length, VALUE_LENGTH_OFFSET);
  record.write(key, RECORD_HEADER_BYTES);
  record.set(value, RECORD_HEADER_BYTES + keyBytes);
  record.writeUInt32LE(crc32(record.subarray(KEY_LENGTH_OFFSET)), CHECKSUM_OFFSET);
  return record;
}

export interface ValueRecord {
  key: string;
  /** View of the decoded buffer. */
  value: Buffer;
  /** Offset of the first byte after the record. */
  end: number;
}

/** Decodes the record at `offset`; undefined if it is incomplete or corrupt. */
export function decodeValueRecord(bytes: Buffer, offset: number): ValueRecord | undefined {
  if (offset + RECORD_HEADER_BYTES > bytes.length) return undefined;
  if (!bytes.subarray(offset, offset + MAGIC.length).equals(MAGIC)) return undefined;
  const valueStart = offset + RECORD_HEADER_BYTES + bytes.readUInt16LE(offset + KEY_LENGTH_OFFSET);
  const end = valueStart + bytes.readUInt32LE(offset + VALUE_LENGTH_OFFSET);
  if (end > bytes.length) return undefined;
  const checksum = crc32(bytes.subarray(offset + KEY_LENGTH_OFFSET, end));
  if (checksum !== bytes.readUInt32LE(offset + CHECKSUM_OFFSET)) return undefined;
  const key = bytes.toString('utf8', offset + RECORD_HEADER_BYTES, valueStart);
  return { key, value: bytes.subarray(valueStart, end), end };
}

/** Position of a record in its segment, in bytes. */
export interface SegmentIndexEntry {
  key: string;
  offset: number;
  length: number;
}

/** Scans a segment for intact records, and skips corrupt or torn ones. */
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
