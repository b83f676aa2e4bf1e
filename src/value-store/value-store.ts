/**
 * Values on this machine's disk by key: written once, read rarely, dropped after a while. The heap
 * holds a location a value, the values that are not written yet, and a cache with a limit.
 *
 * The store by itself promises only what a `sync` has covered; whoever puts values keeps them
 * elsewhere until then (here: in the replicated log).
 */
import { LRUCache } from 'lru-cache';
import { LedgegaugeError, SignalEvent, describeError } from '../common/index.js';
import { DiskFullError, readBytes } from '../log-store/index.js';
import type { Logger } from '../observability/index.js';
import { PendingValues } from './pending-values.js';
import { type EncodedRecord, SegmentFiles } from './segment-files.js';
import type { StoreFolder } from './store-folder.js';
import {
  decodeValueRecord,
  encodeValueRecord,
  encodedRecordLength,
  scanValueRecords,
} from './value-record.js';
import type { ValueLocation, ValueSegment } from './value-segment.js';

const MIB = 1024 * 1024;
/** Small enough that moving the rest of one holds little up; large enough for few files. */
const DEFAULT_SEGMENT_BYTES = 4 * MIB;
const DEFAULT_CACHE_BYTES = 8 * MIB;
const DEFAULT_MAX_PENDING_BYTES = 4 * MIB;
/** Bytes of values that are written in one go. */
const WRITE_BATCH_BYTES = MIB;
/** A sealed segment is cleaned when less than this share of it is still wanted. */
const CLEAN_BELOW_SHARE = 0.25;
/** A full store cleans no segment of which less than this share is dead: it would gain too little. */
const WORTHWHILE_DEAD_SHARE = 0.1;
/**
 * Values gather until somebody needs them on disk, there are so many bytes of them, or the oldest has waited
 * for so long, in milliseconds: they come one by one, and each write costs as much processor time as a message.
 */
const WRITE_THRESHOLD_BYTES = 256 * 1024;
const DEFAULT_WRITE_DELAY_MS = 100;
/** Error code of a read that the disk can't do; any other may be over soon, as a lack of memory is. */
const DAMAGED_CODE = 'EIO';
/** Pause between two tries on a full disk, in milliseconds: as the write-ahead log's. */
const FULL_RETRY_MS = 100;

export interface ValueStoreOptions {
  folder: StoreFolder;
  logger: Logger;
  /** Called once when a write or sync failed so that the process must end. */
  onFatal: (error: unknown) => void;
  /** Bytes that all segments together may take. @default no limit */
  quotaBytes?: number;
  /** A segment is closed once it has this many bytes. @default 4 MiB */
  segmentBytes?: number;
  /** Bytes of values that are kept in memory after they were written or read. @default 8 MiB */
  cacheBytes?: number;
  /** Bytes of values that may wait to be written before `waitForRoom` holds up. @default 4 MiB */
  maxPendingBytes?: number;
  /** Longest time for which values gather before they are written, in milliseconds. @default 100 */
  writeDelayMs?: number;
}

/** The store was closed; what was put last may not be on disk. */
export class ValueStoreClosedError extends LedgegaugeError {}

export class ValueStore {
  private readonly locations = new Map<string, ValueLocation>();
  private readonly pending = new PendingValues();
  private readonly cache: LRUCache<string, Buffer>;
  private readonly files: SegmentFiles;
  private readonly segmentBytes: number;
  private readonly maxPendingBytes: number;
  private readonly quotaBytes: number;
  private readonly writeDelayMs: number;
  private readonly wake = new SignalEvent();
  /** Notified when something was written, or when the disk was found full. */
  private readonly progress = new SignalEvent();
  private isFull = false;
  private isClosing = false;
  /** Syncs that wait for what is pending. */
  private waitingSyncs = 0;
  private writeDelayTimer: NodeJS.Timeout | undefined;
  /** The oldest pending value has waited for long enough. */
  private hasDelayElapsed = false;
  /** Something came since the writer last looked; it may have looked just before. */
  private hasNews = false;
  private writer: Promise<void> = Promise.resolve();
  /** Bytes of records: put by callers, written in all, and moved by cleaning; damaged records. */
  readonly counters = { putBytes: 0, writtenBytes: 0, movedBytes: 0, damaged: 0 };

  private constructor(private readonly options: ValueStoreOptions) {
    this.segmentBytes = options.segmentBytes ?? DEFAULT_SEGMENT_BYTES;
    this.maxPendingBytes = options.maxPendingBytes ?? DEFAULT_MAX_PENDING_BYTES;
    this.quotaBytes = options.quotaBytes ?? Number.POSITIVE_INFINITY;
    this.writeDelayMs = options.writeDelayMs ?? DEFAULT_WRITE_DELAY_MS;
    this.files = new SegmentFiles(options.folder, this.segmentBytes);
    this.cache = new LRUCache({
      maxSize: options.cacheBytes ?? DEFAULT_CACHE_BYTES,
      sizeCalculation: (value) => Math.max(1, value.length),
    });
  }

  /** Opens the folder and finds every undamaged value in it. */
  static async open(options: ValueStoreOptions): Promise<ValueStore> {
    const store = new ValueStore(options);
    await store.recover();
    store.writer = store.runWriter();
    return store;
  }

  /** Values that are held. */
  get size(): number {
    return this.locations.size + this.pending.size;
  }

  /** Bytes on disk, and those of them that are still wanted. */
  get diskBytes(): { total: number; live: number } {
    const live = this.files.all.reduce((sum, { liveBytes }) => sum + liveBytes, 0);
    return { total: this.files.bytes, live };
  }

  get pendingBytes(): number {
    return this.pending.bytes;
  }

  has(key: string): boolean {
    return this.locations.has(key) || this.pending.has(key);
  }

  /** Takes a value over; it is written soon. A key that is held keeps its value. */
  put(key: string, value: Buffer): void {
    if (this.has(key)) return;
    this.pending.add(key, value);
    this.counters.putBytes += encodedRecordLength(key, value);
    if (this.isWriteDue) this.wakeWriter();
    else this.writeDelayTimer ??= setTimeout(() => this.endWriteDelay(), this.writeDelayMs);
  }

  /** @returns undefined when the value is not held, can't be read now, or is damaged, which drops it */
  async get(key: string): Promise<Buffer | undefined> {
    for (;;) {
      const inMemory = this.pending.find(key) ?? this.cache.get(key);
      if (inMemory) return inMemory;
      const location = this.locations.get(key);
      if (!location) return undefined;
      const read = await this.readValue(key, location);
      // Moved, dropped or written meanwhile: what was read may be of a file that is gone.
      if (this.locations.get(key) !== location) continue;
      if (this.isClosing || read === 'unreadable') return undefined;
      if (read === 'damaged') this.dropDamaged(key, location);
      else this.cache.set(key, read);
      return read === 'damaged' ? undefined : read;
    }
  }

  /** The value is not wanted any more. */
  delete(key: string): void {
    this.cache.delete(key);
    this.pending.drop(key);
    const location = this.locations.get(key);
    if (!location) return;
    this.locations.delete(key);
    this.release(location);
    this.wakeWriter();
  }

  /** Drops every value whose key is not wanted. */
  retain(isWanted: (key: string) => boolean): void {
    for (const key of this.locations.keys()) if (!isWanted(key)) this.delete(key);
  }

  /**
   * Resolves when everything put before is durable.
   * @throws DiskFullError when the disk, or the store's share of it, has no room for it now
   * @throws ValueStoreClosedError when the store was closed before it was written
   */
  async sync(): Promise<void> {
    const sequence = this.pending.latestSequence;
    this.waitingSyncs += 1;
    try {
      await this.waitWritten(sequence);
    } finally {
      this.waitingSyncs -= 1;
    }
    await this.files.sync();
  }

  /** Resolves once few enough bytes wait to be written. */
  async waitForRoom(): Promise<void> {
    while (this.pending.bytes > this.maxPendingBytes && !this.isClosing) await this.progress.wait();
  }

  /** Ends after the write that is under way; what still waits is not written. */
  async close(): Promise<void> {
    this.isClosing = true;
    clearTimeout(this.writeDelayTimer);
    this.wakeWriter();
    this.progress.notify();
    await this.writer;
    await this.files.close();
  }

  private async waitWritten(sequence: number): Promise<void> {
    if (!this.pending.isDrainedUpTo(sequence)) this.wakeWriter();
    while (!this.pending.isDrainedUpTo(sequence)) {
      if (this.isFull) throw this.fullError();
      // Nobody writes it any more: the process that stops would wait for ever.
      if (this.isClosing) throw this.closedError();
      await this.progress.wait();
    }
  }

  private get isWriteDue(): boolean {
    return (
      this.hasDelayElapsed || this.waitingSyncs > 0 || this.pending.bytes >= WRITE_THRESHOLD_BYTES
    );
  }

  private endWriteDelay(): void {
    this.writeDelayTimer = undefined;
    this.hasDelayElapsed = true;
    this.wakeWriter();
  }

  private async recover(): Promise<void> {
    const recovered = await this.files.recover();
    for (const { segment, records } of recovered) {
      for (const { key, offset, length } of records) this.place(key, { segment, offset, length });
    }
    const unsealed = recovered.filter(({ hasIndex }) => !hasIndex);
    this.options.logger.info('value store opened', {
      values: this.locations.size,
      segments: recovered.length,
      bytes: this.files.bytes,
      unsealedSegments: unsealed.length,
      unsealedBytes: unsealed.reduce((sum, { segment }) => sum + segment.bytes, 0),
    });
  }

  private async runWriter(): Promise<void> {
    while (!this.isClosing) {
      try {
        this.hasNews = false;
        const didWork = await this.workOnce();
        this.noteFull(false);
        if (!didWork && !this.hasNews) await this.wake.wait();
      } catch (error) {
        if (!(error instanceof DiskFullError)) {
          this.options.onFatal(error);
          return;
        }
        this.noteFull(true);
        await this.wake.waitWithTimeout(FULL_RETRY_MS);
      }
    }
  }

  private wakeWriter(): void {
    this.hasNews = true;
    this.wake.notify();
  }

  /** One step of the writer. @returns whether there was something to do */
  private async workOnce(): Promise<boolean> {
    await this.removeEmptySegments();
    if (this.pending.size > 0 && this.isWriteDue) {
      await this.writePending();
      return true;
    }
    this.hasDelayElapsed = false;
    const segment = this.worthCleaning();
    if (segment) await this.clean(segment);
    return segment !== undefined;
  }

  private async writePending(): Promise<void> {
    const batch = this.pending.oldest(WRITE_BATCH_BYTES);
    const records = batch.map(({ key, value }) => ({ key, record: encodeValueRecord(key, value) }));
    await this.makeRoomFor(records);
    const locations = await this.append(records);
    for (const [index, { key, value }] of batch.entries()) {
      if (!this.pending.drop(key)) continue;
      this.place(key, locations[index]!);
      this.cache.set(key, value);
    }
    this.progress.notify();
    await this.files.sealIfLarge();
  }

  /** @throws DiskFullError when the store's share of the disk is used up by what is wanted */
  private async makeRoomFor(records: readonly EncodedRecord[]): Promise<void> {
    const bytes = records.reduce((sum, { record }) => sum + record.length, 0);
    // Cleaning needs room for what it moves, which is less than a segment.
    const limit = this.quotaBytes - this.segmentBytes;
    while (this.files.bytes + bytes > limit) {
      const deadest = this.deadestSegment();
      if (!deadest) throw this.fullError();
      await this.clean(deadest);
    }
  }

  private async append(records: readonly EncodedRecord[]): Promise<ValueLocation[]> {
    const { segment, offsets } = await this.files.append(records);
    return records.map(({ record: { length } }, index) => {
      this.counters.writtenBytes += length;
      return { segment, offset: offsets[index]!, length };
    });
  }

  private place(key: string, location: ValueLocation): void {
    const earlier = this.locations.get(key);
    if (earlier) this.release(earlier);
    this.locations.set(key, location);
    location.segment.liveBytes += location.length;
  }

  private release({ segment, length }: ValueLocation): void {
    segment.liveBytes -= length;
  }

  private async removeEmptySegments(): Promise<void> {
    for (const segment of this.files.all.filter(isSealedAndEmpty)) await this.files.remove(segment);
  }

  private worthCleaning(): ValueSegment | undefined {
    return this.files.all.find(
      ({ isSealed, liveBytes, bytes }) => isSealed && liveBytes < bytes * CLEAN_BELOW_SHARE,
    );
  }

  private deadestSegment(): ValueSegment | undefined {
    const candidates = this.files.all.filter(
      ({ isSealed, deadBytes, bytes }) => isSealed && deadBytes > bytes * WORTHWHILE_DEAD_SHARE,
    );
    return candidates.sort((left, right) => right.deadBytes - left.deadBytes)[0];
  }

  /** Moves what is still wanted of a segment to the current one, then removes the segment. */
  private async clean(segment: ValueSegment): Promise<void> {
    const moved = this.wantedRecords(segment, await this.files.read(segment));
    if (moved.length > 0) {
      const locations = await this.append(moved);
      for (const [index, { key, record }] of moved.entries()) {
        this.counters.movedBytes += record.length;
        if (this.locations.get(key)?.segment === segment) this.place(key, locations[index]!);
      }
      // Only then may the place go at which they are durable so far.
      await this.files.sync();
    }
    for (const [key, location] of this.locations) {
      if (location.segment === segment) this.dropDamaged(key, location);
    }
    await this.files.remove(segment);
    await this.files.sealIfLarge();
  }

  private wantedRecords(segment: ValueSegment, bytes: Buffer): EncodedRecord[] {
    return scanValueRecords(bytes)
      .filter(({ key, offset }) => {
        const location = this.locations.get(key);
        return location?.segment === segment && location.offset === offset;
      })
      .map(({ key, offset, length }) => ({ key, record: bytes.subarray(offset, offset + length) }));
  }

  private async readValue(
    key: string,
    location: ValueLocation,
  ): Promise<Buffer | 'damaged' | 'unreadable'> {
    const { segment, offset, length } = location;
    if (!segment.file) return 'unreadable';
    try {
      const bytes = await readBytes(segment.file, offset, length);
      const record = bytes && decodeValueRecord(bytes, 0);
      return record?.key === key ? record.value : 'damaged';
    } catch (error) {
      const context = { segment: segment.name, cause: describeError(error) };
      this.options.logger.warn('value not read', context);
      return (error as NodeJS.ErrnoException).code === DAMAGED_CODE ? 'damaged' : 'unreadable';
    }
  }

  /** A damaged value counts as not held, so that it is fetched from where it stands as well. */
  private dropDamaged(key: string, location: ValueLocation): void {
    const { segment, offset } = location;
    this.counters.damaged += 1;
    this.options.logger.warn('value damaged', { key, segment: segment.name, offset });
    this.delete(key);
  }

  private noteFull(isFull: boolean): void {
    if (isFull) this.progress.notify();
    if (isFull === this.isFull) return;
    this.isFull = isFull;
    const { total } = this.diskBytes;
    const state = { bytes: total, waitingBytes: this.pending.bytes };
    if (isFull) this.options.logger.warn('value store full', state);
    else this.options.logger.info('value store has room again', state);
  }

  private closedError(): ValueStoreClosedError {
    const context = { step: 'value-store.sync', peer: this.options.folder.path, retriable: false };
    return new ValueStoreClosedError('closed before everything was written', context);
  }

  private fullError(): DiskFullError {
    const context = { step: 'value-store.write', peer: this.options.folder.path, retriable: true };
    return new DiskFullError('no room for values', context);
  }
}

function isSealedAndEmpty({ isSealed, liveBytes }: ValueSegment): boolean {
  return isSealed && liveBytes === 0;
}
