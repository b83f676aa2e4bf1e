/**
 * Key-value store on the local disk for values that are written once, read rarely and deleted after
 * a while. The heap holds the location of each value, unwritten values and a bounded cache.
 *
 * Only values covered by a `sync` are durable. Until then the caller must be able to recover them
 * from elsewhere, such as the replicated log.
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
/** Small enough that compacting the rest of a segment causes little delay; large enough to need few files. */
const DEFAULT_SEGMENT_BYTES = 4 * MIB;
const DEFAULT_CACHE_BYTES = 8 * MIB;
const DEFAULT_MAX_PENDING_BYTES = 4 * MIB;
/** Maximum size of one write, in bytes of values. */
const WRITE_BATCH_BYTES = MIB;
/** Sealed segments are compacted when their share of live bytes is below this. */
const COMPACTION_LIVE_SHARE = 0.25;
/** Minimum share of dead bytes at which a full store compacts a segment. */
const MIN_RECLAIMABLE_SHARE = 0.1;
/**
 * Values are buffered until a sync waits for them, their size reaches this threshold, or the write delay has
 * elapsed, which limits the number of small writes.
 */
const WRITE_THRESHOLD_BYTES = 256 * 1024;
const DEFAULT_WRITE_DELAY_MS = 100;
/** Error code of a failed disk read. Other read errors may be transient. */
const DISK_ERROR_CODE = 'EIO';
/** Retry delay while the disk is full, in milliseconds. */
const DISK_FULL_RETRY_MS = 100;

export interface ValueStoreOptions {
  folder: StoreFolder;
  logger: Logger;
  /** Called once when a write or sync failed, after which the process must exit. */
  onFatal: (error: unknown) => void;
  /** Maximum total size of the segments. @default no limit */
  quotaBytes?: number;
  /** Size at which a segment is sealed. @default 4 MiB */
  segmentBytes?: number;
  /** Maximum size of the cache of written and read values. @default 8 MiB */
  cacheBytes?: number;
  /** Size of unwritten values above which `waitForRoom` waits. @default 4 MiB */
  maxPendingBytes?: number;
  /** Maximum delay before a buffered value is written, in milliseconds. @default 100 */
  writeDelayMs?: number;
}

/** The store was closed before the latest values were written. */
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
  /** Notified after each write, and when the disk becomes full. */
  private readonly progress = new SignalEvent();
  private isFull = false;
  private isClosing = false;
  /** Number of syncs that wait for pending values. */
  private waitingSyncs = 0;
  private writeDelayTimer: NodeJS.Timeout | undefined;
  /** Whether the write delay of the oldest pending value has elapsed. */
  private hasDelayElapsed = false;
  /** Whether the writer was woken since it last checked for work. */
  private isWakePending = false;
  private writer: Promise<void> = Promise.resolve();
  /** Bytes of records put by callers, written in total and moved by compaction; number of damaged records. */
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

  /** Opens the store and recovers the intact values. */
  static async open(options: ValueStoreOptions): Promise<ValueStore> {
    const store = new ValueStore(options);
    await store.recover();
    store.writer = store.runWriter();
    return store;
  }

  /** Number of values, written or pending. */
  get size(): number {
    return this.locations.size + this.pending.size;
  }

  /** Total and live bytes on disk. */
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

  /** Adds a value, which is written asynchronously. An existing key keeps its value. */
  put(key: string, value: Buffer): void {
    if (this.has(key)) return;
    this.pending.add(key, value);
    this.counters.putBytes += encodedRecordLength(key, value);
    if (this.isWriteDue) this.wakeWriter();
    else this.writeDelayTimer ??= setTimeout(() => this.endWriteDelay(), this.writeDelayMs);
  }

  /** @returns undefined if the value is absent, temporarily unreadable, or damaged; damaged values are deleted */
  async get(key: string): Promise<Buffer | undefined> {
    for (;;) {
      const inMemory = this.pending.find(key) ?? this.cache.get(key);
      if (inMemory) return inMemory;
      const location = this.locations.get(key);
      if (!location) return undefined;
      const read = await this.readValue(key, location);
      // The value was moved, deleted or written during the read, whose file may have been removed.
      if (this.locations.get(key) !== location) continue;
      if (this.isClosing || read === 'unreadable') return undefined;
      if (read === 'damaged') this.dropDamaged(key, location);
      else this.cache.set(key, read);
      return read === 'damaged' ? undefined : read;
    }
  }

  delete(key: string): void {
    this.cache.delete(key);
    this.pending.drop(key);
    const location = this.locations.get(key);
    if (!location) return;
    this.locations.delete(key);
    this.releaseRecord(location);
    this.wakeWriter();
  }

  /** Deletes all written values whose keys do not match the predicate. */
  retain(isLive: (key: string) => boolean): void {
    for (const key of this.locations.keys()) if (!isLive(key)) this.delete(key);
  }

  /**
   * Whether values may be accepted that take a share of the quota at most, together with all live and unwritten ones. A
   * full disk does not count: until it has room, values wait in memory.
   * @param bytes size of the values
   * @param share of the quota
   */
  hasRoomFor(bytes: number, share: number): boolean {
    // Compaction needs room for the moved records, which are smaller than a segment.
    const limit = (this.quotaBytes - this.segmentBytes) * share;
    return this.diskBytes.live + this.pending.bytes + bytes <= limit;
  }

  /**
   * Resolves once all values put before are durable.
   * @throws DiskFullError when the disk or the quota is full
   * @throws ValueStoreClosedError when the store was closed before they were written
   */
  async sync(): Promise<void> {
    const sequence = this.pending.latestSequence;
    this.waitingSyncs += 1;
    try {
      await this.waitUntilWritten(sequence);
    } finally {
      this.waitingSyncs -= 1;
    }
    await this.files.sync();
  }

  /**
   * Applies backpressure: resolves once the unwritten values are below the limit.
   * @throws DiskFullError when the disk or the quota is full, since that may last
   */
  async waitForRoom(): Promise<void> {
    while (this.pending.bytes > this.maxPendingBytes && !this.isClosing) {
      if (this.isFull) throw this.fullError();
      await this.progress.wait();
    }
  }

  /** Closes the store after the current write. Values that are still pending are not written. */
  async close(): Promise<void> {
    this.isClosing = true;
    clearTimeout(this.writeDelayTimer);
    this.wakeWriter();
    this.progress.notify();
    await this.writer;
    await this.files.close();
  }

  private async waitUntilWritten(sequence: number): Promise<void> {
    if (!this.pending.isDrainedUpTo(sequence)) this.wakeWriter();
    while (!this.pending.isDrainedUpTo(sequence)) {
      if (this.isFull) throw this.fullError();
      // The writer has stopped, so waiting would never end.
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
      for (const { key, offset, length } of records)
        this.setLocation(key, { segment, offset, length });
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
        this.isWakePending = false;
        const hadWork = await this.runOnce();
        this.setFull(false);
        if (!hadWork && !this.isWakePending) await this.wake.wait();
      } catch (error) {
        if (!(error instanceof DiskFullError)) {
          this.options.onFatal(error);
          return;
        }
        this.setFull(true);
        await this.wake.waitWithTimeout(DISK_FULL_RETRY_MS);
      }
    }
  }

  private wakeWriter(): void {
    this.isWakePending = true;
    this.wake.notify();
  }

  /** Runs one step of the writer. @returns whether there was work to do */
  private async runOnce(): Promise<boolean> {
    await this.removeEmptySegments();
    if (this.pending.size > 0 && this.isWriteDue) {
      await this.writePending();
      return true;
    }
    this.hasDelayElapsed = false;
    const segment = this.findCompactable();
    if (segment) await this.compact(segment);
    return segment !== undefined;
  }

  private async writePending(): Promise<void> {
    const batch = this.pending.oldest(WRITE_BATCH_BYTES);
    const records = batch.map(({ key, value }) => ({ key, record: encodeValueRecord(key, value) }));
    await this.makeRoomFor(records);
    const locations = await this.append(records);
    for (const [index, { key, value }] of batch.entries()) {
      if (!this.pending.drop(key)) continue;
      this.setLocation(key, locations[index]!);
      this.cache.set(key, value);
    }
    this.progress.notify();
    await this.files.sealIfLarge();
  }

  /** @throws DiskFullError when live values use up the quota */
  private async makeRoomFor(records: readonly EncodedRecord[]): Promise<void> {
    const bytes = records.reduce((sum, { record }) => sum + record.length, 0);
    // Compaction needs room for the moved records, which are smaller than a segment.
    const limit = this.quotaBytes - this.segmentBytes;
    while (this.files.bytes + bytes > limit) {
      const candidate = this.segmentWithMostDeadBytes();
      if (!candidate) throw this.fullError();
      await this.compact(candidate);
    }
  }

  private async append(records: readonly EncodedRecord[]): Promise<ValueLocation[]> {
    const { segment, offsets } = await this.files.append(records);
    return records.map(({ record: { length } }, index) => {
      this.counters.writtenBytes += length;
      return { segment, offset: offsets[index]!, length };
    });
  }

  private setLocation(key: string, location: ValueLocation): void {
    const earlier = this.locations.get(key);
    if (earlier) this.releaseRecord(earlier);
    this.locations.set(key, location);
    location.segment.liveBytes += location.length;
  }

  private releaseRecord({ segment, length }: ValueLocation): void {
    segment.liveBytes -= length;
  }

  private async removeEmptySegments(): Promise<void> {
    for (const segment of this.files.all.filter(isSealedAndEmpty)) await this.files.remove(segment);
  }

  private findCompactable(): ValueSegment | undefined {
    return this.files.all.find(
      ({ isSealed, liveBytes, bytes }) => isSealed && liveBytes < bytes * COMPACTION_LIVE_SHARE,
    );
  }

  private segmentWithMostDeadBytes(): ValueSegment | undefined {
    const candidates = this.files.all.filter(
      ({ isSealed, deadBytes, bytes }) => isSealed && deadBytes > bytes * MIN_RECLAIMABLE_SHARE,
    );
    return candidates.sort((left, right) => right.deadBytes - left.deadBytes)[0];
  }

  /** Moves the live records of a segment to the current segment, then removes it. */
  private async compact(segment: ValueSegment): Promise<void> {
    const moved = this.liveRecords(segment, await this.files.read(segment));
    if (moved.length > 0) {
      const locations = await this.append(moved);
      for (const [index, { key, record }] of moved.entries()) {
        this.counters.movedBytes += record.length;
        if (this.locations.get(key)?.segment === segment) this.setLocation(key, locations[index]!);
      }
      // The moved records must be durable before their old location is removed.
      await this.files.sync();
    }
    for (const [key, location] of this.locations) {
      if (location.segment === segment) this.dropDamaged(key, location);
    }
    await this.files.remove(segment);
    await this.files.sealIfLarge();
  }

  private liveRecords(segment: ValueSegment, bytes: Buffer): EncodedRecord[] {
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
      return (error as NodeJS.ErrnoException).code === DISK_ERROR_CODE ? 'damaged' : 'unreadable';
    }
  }

  /** Deletes a damaged value, so that the caller can restore it from a replica. */
  private dropDamaged(key: string, location: ValueLocation): void {
    const { segment, offset } = location;
    this.counters.damaged += 1;
    this.options.logger.warn('value damaged', { key, segment: segment.name, offset });
    this.delete(key);
  }

  private setFull(isFull: boolean): void {
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
    return new ValueStoreClosedError('value store closed before all values were written', context);
  }

  private fullError(): DiskFullError {
    const context = { step: 'value-store.write', peer: this.options.folder.path, retriable: true };
    return new DiskFullError('value store has no space left', context);
  }
}

function isSealedAndEmpty({ isSealed, liveBytes }: ValueSegment): boolean {
  return isSealed && liveBytes === 0;
}
