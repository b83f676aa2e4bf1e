/**
 * Record format of segment files: a header of 12 bytes, then the body.
 *
 * The header contains the body length, a CRC-32 over the synced offset and the body, and the offset
 * up to which the segment was known to be synced when the record was written. The synced offset
 * distinguishes a torn tail from damage: data before the synced offset of any later record had been
 * acknowledged.
 */
import { crc32 } from 'node:zlib';

export const HEADER_BYTES = 12;

export function encodeRecord(body: Buffer, syncedOffset: number): Buffer {
  const record = Buffer.allocUnsafe(HEADER_BYTES + body.length);
  record.writeUInt32LE(body.length, 0);
  record.writeUInt32LE(syncedOffset, 8);
  body.copy(record, HEADER_BYTES);
  record.writeUInt32LE(crc32(record.subarray(8)), 4);
  return record;
}

export interface DecodedRecord {
  body: Buffer;
  syncedOffset: number;
  /** Offset of the byte after the record. */
  end: number;
}

/** Decodes the record at `offset`; returns undefined if it is incomplete or damaged. */
export function decodeRecord(bytes: Buffer, offset: number): DecodedRecord | undefined {
  if (offset + HEADER_BYTES > bytes.length) return undefined;
  const length = bytes.readUInt32LE(offset);
  const end = offset + HEADER_BYTES + length;
  if (length === 0 || end > bytes.length) return undefined;
  const checksum = bytes.readUInt32LE(offset + 4);
  if (crc32(bytes.subarray(offset + 8, end)) !== checksum) return undefined;
  return {
    body: bytes.subarray(offset + HEADER_BYTES, end),
    syncedOffset: bytes.readUInt32LE(offset + 8),
    end,
  };
}

/** Whether a record after `offset` proves that data beyond `offset` had been synced. */
export function hasSyncedDataAfter(bytes: Buffer, offset: number): boolean {
  for (let start = offset + 1; start + HEADER_BYTES <= bytes.length; start += 1) {
    const record = decodeRecord(bytes, start);
    if (record && record.syncedOffset > offset) return true;
  }
  return false;
}
