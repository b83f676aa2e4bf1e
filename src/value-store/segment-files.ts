/**
 * The segment files of a value store: appending to the last one, sealing it once it is large
 * enough, and removing those that hold nothing any more. A start never goes on writing in a file of
 * the run before, whose end may be torn.
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

/** One encoded record that is to be appended. */
export interface EncodedRecord {
  key: string;
  record: Buffer;
}

/** What a start finds in one segment. */
export interface RecoveredSegment {
  segment: ValueSegment;
  records: SegmentIndexEntry[];
  /** Only a segment that was sealed has an index. */
  hasIndex: boolean;
}

export class SegmentFiles {
  private readonly segments: ValueSegment[] = [];
  /**
   * The highest number that a segment or an index had. None is used again: after a loss of power the index of a
   * removed segment may be there without it.
   */
  private highestNumber = 0;
  /** Records of the segment that is written to, for its index. */
  private currentRecords: SegmentIndexEntry[] = [];

  /** @param segmentBytes a segment is sealed once it has this many bytes */
  constructor(
    private readonly folder: StoreFolder,
    private readonly segmentBytes: number,
  ) {}

  get all(): readonly ValueSegment[] {
    return this.segments;
  }

  /** Bytes of all segments. */
  get bytes(): number {
    return this.segments.reduce((sum, segment) => sum + segment.bytes, 0);
  }

  /**
   * Opens what the folder holds; every segment found is sealed, and durable before anybody reads of it.
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
      // A process that was killed leaves writes in the machine's memory: a loss of power would take them.
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
   * Appends records behind one another, without a sync.
   * @returns the segment and where each record begins in it
   * @throws DiskFullError when there is no room; the same may be appended again later
   */
  async append(
    records: readonly EncodedRecord[],
  ): Promise<{ segment: ValueSegment; offsets: number[] }> {
    const segment = await this.writableSegment();
    const bytes = Buffer.concat(records.map(({ record }) => record));
    try {
      await writeWhole(segment.file!, bytes, segment.bytes);
    } catch (cause) {
      // A part that stays is written over by the next append, and skipped by a start.
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

  /** Makes everything that was appended durable. @throws StorageFailedError */
  async sync(): Promise<void> {
    const last = this.segments.at(-1);
    if (last && !last.isSealed) await this.syncSegment(last);
  }

  /**
   * Closes the last segment to new records once it is large enough, and writes its index.
   * @throws DiskFullError when the index has no room: the segment stands without one
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

  /** The whole content of a segment. */
  read(segment: ValueSegment): Promise<Buffer> {
    return readWholeFile(segment.file!, segment.bytes);
  }

  /** Removes a sealed segment; reads of it that are under way fail. */
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

/** What is there of so many bytes. */
async function readWholeFile(file: StoreFile, length: number): Promise<Buffer> {
  return (await readBytes(file, 0, length)) ?? Buffer.alloc(0);
}
