/**
 * Segment files of a value store: appends to the last segment, seals it at its size limit, and
 * removes segments. Segments of a previous process are never appended to, since their end may be
 * torn.
 */
import { StorageFailedError, readBytes, storageError, writeWhole } from '../log-store/index.js';
import type { StoreFile, StoreFolder } from './store-folder.js';
import { type SegmentIndexEntry, scanValueRecords } from './value-record.js';
import {
  ValueSegment,
  decodeIndex,
  encodeIndex,
  indexNumbers,
  segmentNumbers,
} from './value-segment.js';

/** A record to be appended. */
export interface EncodedRecord {
  key: string;
  record: Buffer;
}

/** A segment found during recovery. */
export interface RecoveredSegment {
  segment: ValueSegment;
  records: SegmentIndexEntry[];
  /** Only sealed segments have an index. */
  hasIndex: boolean;
}

export class SegmentFiles {
  private readonly segments: ValueSegment[] = [];
  /**
   * Highest number of any segment or index. Numbers are not reused: after a power failure the index of a removed
   * segment may reappear without its segment.
   */
  private highestNumber = 0;
  /** Records of the current segment, for its index. */
  private currentRecords: SegmentIndexEntry[] = [];

  /** @param segmentBytes size at which a segment is sealed */
  constructor(
    private readonly folder: StoreFolder,
    private readonly segmentBytes: number,
  ) {}

  get all(): readonly ValueSegment[] {
    return this.segments;
  }

  /** Total size of the segments, in bytes. */
  get bytes(): number {
    return this.segments.reduce((sum, segment) => sum + segment.bytes, 0);
  }

  /**
   * Opens the existing segments. Each counts as sealed and is durable before it is read from.
   * @throws StorageFailedError
   */
  async recover(): Promise<RecoveredSegment[]> {
    const names = await this.folder.list();
    const numbers = segmentNumbers(names);
    const indexes = indexNumbers(names);
    this.highestNumber = Math.max(0, ...numbers, ...indexes);
    for (const number of indexes.filter((index) => !numbers.includes(index))) {
      await this.folder.remove(new ValueSegment(number).indexName);
    }
    const recovered: RecoveredSegment[] = [];
    for (const number of numbers) {
      const segment = new ValueSegment(number);
      segment.file = await this.folder.open(segment.name);
      segment.bytes = await segment.file.size();
      segment.isSealed = true;
      const hasIndex = names.includes(segment.indexName);
      // A killed process may have left unsynced writes, which a power failure would lose.
      if (!hasIndex) await this.syncSegment(segment);
      const records =
        (hasIndex && (await this.readIndex(segment))) ||
        scanValueRecords(await readWholeFile(segment.file, segment.bytes));
      this.segments.push(segment);
      recovered.push({ segment, records, hasIndex });
    }
    return recovered;
  }

  /**
   * Appends records to the current segment, without a sync.
   * @returns the segment and the offset of each record
   * @throws DiskFullError when the disk is full; the append may be retried
   */
  async append(
    records: readonly EncodedRecord[],
  ): Promise<{ segment: ValueSegment; offsets: number[] }> {
    const segment = await this.writableSegment();
    const bytes = Buffer.concat(records.map(({ record }) => record));
    try {
      await writeWhole(segment.file!, bytes, segment.bytes);
    } catch (cause) {
      // A partial write is overwritten by the next append, and skipped during recovery.
      throw storageError(cause, { step: 'value-store.append', peer: segment.name });
    }
    const offsets: number[] = [];
    for (const { key, record } of records) {
      offsets.push(segment.bytes);
      this.currentRecords.push({ key, offset: segment.bytes, length: record.length });
      segment.bytes += record.length;
    }
    return { segment, offsets };
  }

  /** Makes all appended records durable. @throws StorageFailedError */
  async sync(): Promise<void> {
    const last = this.segments.at(-1);
    if (last && !last.isSealed) await this.syncSegment(last);
  }

  /**
   * Seals the current segment once it has reached the size limit, and writes its index.
   * @throws DiskFullError when the disk is full; the segment then has no index
   */
  async sealIfLarge(): Promise<void> {
    const segment = this.segments.at(-1);
    if (!segment || segment.isSealed || segment.bytes < this.segmentBytes) return;
    await this.syncSegment(segment);
    segment.isSealed = true;
    const records = this.currentRecords;
    this.currentRecords = [];
    await this.folder.replace(segment.indexName, encodeIndex(records));
  }

  /** Reads a whole segment. */
  read(segment: ValueSegment): Promise<Buffer> {
    return readWholeFile(segment.file!, segment.bytes);
  }

  /** Removes a sealed segment. Concurrent reads of it fail. */
  async remove(segment: ValueSegment): Promise<void> {
    this.segments.splice(this.segments.indexOf(segment), 1);
    await segment.file?.close();
    segment.file = undefined;
    await this.folder.remove(segment.indexName);
    await this.folder.remove(segment.name);
  }

  async close(): Promise<void> {
    for (const { file } of this.segments) await file?.close();
  }

  private async writableSegment(): Promise<ValueSegment> {
    const last = this.segments.at(-1);
    if (last && !last.isSealed) return last;
    const segment = new ValueSegment(this.highestNumber + 1);
    this.highestNumber = segment.number;
    segment.file = await this.folder.create(segment.name);
    await this.folder.sync();
    this.currentRecords = [];
    this.segments.push(segment);
    return segment;
  }

  private async syncSegment(segment: ValueSegment): Promise<void> {
    try {
      await segment.file!.datasync();
    } catch (cause) {
      const context = { step: 'value-store.sync', peer: segment.name, cause };
      throw new StorageFailedError('sync failed', context);
    }
  }

  private async readIndex(segment: ValueSegment): Promise<SegmentIndexEntry[] | undefined> {
    const file = await this.folder.open(segment.indexName);
    try {
      return decodeIndex(await readWholeFile(file, await file.size()));
    } finally {
      await file.close();
    }
  }
}

/** Reads `length` bytes from the start of a file; empty if the file is shorter. */
async function readWholeFile(file: StoreFile, length: number): Promise<Buffer> {
  return (await readBytes(file, 0, length)) ?? Buffer.alloc(0);
}
