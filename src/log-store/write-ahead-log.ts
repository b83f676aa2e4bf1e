/**
 * Write-ahead log of a process. All replicated groups share its segment files, so that one sync
 * serves all groups with pending records (group commit). A single writer takes all queued records,
 * writes and syncs them together and resolves their promises. While the disk is full, it retries
 * the write and new entries are rejected.
 */
import { open, readdir, readFile, rm, truncate } from 'node:fs/promises';
import { join } from 'node:path';
import { Deferred, SignalEvent, sleep } from '../common/index.js';
import {
  type LogFile,
  type OpenLogFile,
  StorageQuota,
  appendAndSync,
  createFile,
  makeFolder,
  syncFolder,
} from './data-folder.js';
import { DamagedLogError, DiskFullError } from './errors.js';
import { GroupLogState } from './group-log-state.js';
import { HEADER_BYTES, decodeRecord, encodeRecord, hasSyncedDataAfter } from './record-codec.js';
import {
  type HardState,
  type LogRecord,
  type SnapshotMark,
  decodeLogRecord,
  encodeLogRecord,
} from './records.js';

const SEGMENT_PREFIX = 'segment-';
const SEGMENT_SUFFIX = '.log';
const SEGMENT_DIGITS = 10;
const DEFAULT_SEGMENT_BYTES = 32 * 1024 * 1024;
const SYNC_MARKER_IDLE_MS = 20;
/**
 * Above this number of segments, groups with entries in the oldest one are asked for a snapshot.
 */
const MAX_SEGMENTS = 3;
/**
 * Delay between writes to a full disk. It is short compared with an election timeout, so that a member takes part again
 * as soon as there is room.
 */
const DISK_FULL_RETRY_MS = 100;

export interface WriteAheadLogOptions {
  folder: string;
  /** Size at which a new segment is started. @default 32 MiB */
  segmentBytes?: number;
  /** Maximum total size of all segments, in bytes. @default no limit */
  quotaBytes?: number;
  /** Called once if a write or sync failed, after which the process must end. */
  onFatal: (error: unknown) => void;
  /** Called when the disk becomes full, and when a write succeeds again. */
  onFullChange?: (isFull: boolean) => void;
  /** Opens a segment file. @default `open` of `node:fs/promises` */
  openFile?: OpenLogFile;
}

type EntriesRecord = Extract<LogRecord, { kind: 'entries' }>;

interface QueuedWrite {
  records: LogRecord[];
  bodies: Buffer[];
  done: Deferred<void>;
}

interface Segment {
  number: number;
  bytes: number;
  /** The highest entry index of each group in this segment. */
  highestIndex: Map<string, number>;
  /**
   * Whether the segment starts with term, vote and snapshot mark of every group, which may exist
   * nowhere else once earlier segments are removed.
   */
  hasHeader: boolean;
}

/** Group state repeated in segment headers, as last written. */
interface WrittenState {
  hardState: HardState;
  mark: SnapshotMark;
}

const NOTHING_WRITTEN: WrittenState = {
  hardState: { term: 0, votedFor: undefined },
  mark: { index: 0, term: 0 },
};

export class WriteAheadLog {
  private readonly groups = new Map<string, GroupLogState>();
  /**
   * Written state by group. The in-memory state also includes queued records and must not be used:
   * a header mark before the entries that it drops would not drop them during recovery, and a
   * segment must not be removed for a mark that may never be written.
   */
  private readonly written = new Map<string, WrittenState>();
  private readonly queue: QueuedWrite[] = [];
  private readonly wake = new SignalEvent();
  private readonly quota: StorageQuota;
  private readonly segmentBytes: number;
  private segments: Segment[] = [];
  private file!: LogFile;
  private readonly openFile: OpenLogFile;
  private isDiskFull = false;
  private syncedOffset = 0;
  private markerNeeded = false;
  private closing = false;
  private writer: Promise<void> | undefined;
  /** Counters for metrics. */
  readonly counters = { syncs: 0, bytes: 0, records: 0 };

  private constructor(private readonly options: WriteAheadLogOptions) {
    this.quota = new StorageQuota(options.quotaBytes);
    this.segmentBytes = options.segmentBytes ?? DEFAULT_SEGMENT_BYTES;
    this.openFile = options.openFile ?? open;
  }

  /**
   * Opens the log and rebuilds the state of all groups.
   * @throws DamagedLogError if synced data is damaged
   */
  static async open(options: WriteAheadLogOptions): Promise<WriteAheadLog> {
    const log = new WriteAheadLog(options);
    await makeFolder(options.folder);
    await log.recover();
    log.writer = log.runWriter();
    return log;
  }

  /** Returns the state of a group, which is created empty if the log has none. */
  group(name: string): GroupLogState {
    let state = this.groups.get(name);
    if (!state) {
      state = new GroupLogState();
      this.groups.set(name, state);
    }
    return state;
  }

  /** Bytes of the entries of all groups that are held in memory. */
  get heldBytes(): number {
    let bytes = 0;
    for (const group of this.groups.values()) bytes += group.heldBytes;
    return bytes;
  }

  get groupNames(): string[] {
    return [...this.groups.keys()];
  }

  /**
   * Applies records to the in-memory state immediately. Resolves when they are synced.
   * @throws StorageFullError (synchronously) if there is no space; nothing was applied then
   */
  append(appended: LogRecord[]): Promise<void> {
    const records = appended.flatMap((record) => this.withExplicitTruncation(record));
    const bodies = records.map(encodeLogRecord);
    const isRefusable = records.some((record) => record.kind === 'entries');
    if (isRefusable && this.isDiskFull) throw this.diskFullError();
    this.quota.reserve(sizeOnDisk(bodies), isRefusable, this.options.folder);
    for (const record of records) this.applyToGroup(record);
    const done = new Deferred<void>();
    this.queue.push({ records, bodies, done });
    this.wake.notify();
    return done.promise;
  }

  /** Groups whose entries prevent the removal of the oldest segment. */
  groupsHoldingOldSegments(): string[] {
    if (this.segments.length <= MAX_SEGMENTS) return [];
    const [oldest] = this.segments;
    return [...(oldest?.highestIndex ?? [])]
      .filter(([group, index]) => index > this.group(group).snapshot.index)
      .map(([group]) => group);
  }

  /** Writes queued records and closes the file. */
  async close(): Promise<void> {
    this.closing = true;
    this.wake.notify();
    await this.writer;
    await this.file.close();
  }

  /**
   * Adds an explicit truncation before a conflicting mark. Recovery cannot detect the conflict if
   * the segment with the entry at the mark's index has been removed.
   */
  private withExplicitTruncation(record: LogRecord): LogRecord[] {
    if (record.kind !== 'snapshot') return [record];
    const { group, mark } = record;
    const state = this.group(group);
    if (!state.isContradictedBy(mark)) return [record];
    return [{ kind: 'truncate', group, fromIndex: state.snapshot.index + 1 }, record];
  }

  private applyToGroup(record: LogRecord): void {
    if (record.kind !== 'sync-marker') this.group(record.group).apply(record);
  }

  private async runWriter(): Promise<void> {
    while (!this.closing || this.queue.length > 0) {
      if (this.queue.length === 0) {
        await this.waitForWork();
        continue;
      }
      const batch = this.queue.splice(0);
      try {
        const isWritten = await this.writeWithRetry(batch);
        if (!isWritten) return;
        await this.rotateSegments(batch);
        for (const write of batch) write.done.resolve();
      } catch (error) {
        for (const write of batch) write.done.reject(error);
        this.options.onFatal(error);
        return;
      }
    }
  }

  /** @returns false if the log was closed first; the batch is never resolved then */
  private async writeWithRetry(batch: QueuedWrite[]): Promise<boolean> {
    for (;;) {
      try {
        await this.writeBatch(batch);
        this.setDiskFull(false);
        return true;
      } catch (error) {
        if (!(error instanceof DiskFullError)) throw error;
        this.setDiskFull(true);
        if (this.closing) return false;
        await sleep(DISK_FULL_RETRY_MS);
      }
    }
  }

  private setDiskFull(isFull: boolean): void {
    if (isFull === this.isDiskFull) return;
    this.isDiskFull = isFull;
    this.options.onFullChange?.(isFull);
  }

  private diskFullError(): DiskFullError {
    const context = { step: 'log-store.append', peer: this.options.folder, retriable: true };
    return new DiskFullError('disk is full', context);
  }

  /**
   * When idle, writes a marker with the synced offset, which allows damage to be detected later.
   */
  private async waitForWork(): Promise<void> {
    if (!this.markerNeeded) {
      await this.wake.wait();
      return;
    }
    await this.wake.waitWithTimeout(SYNC_MARKER_IDLE_MS);
    if (this.queue.length > 0 || this.closing) return;
    this.markerNeeded = false;
    const marker = encodeRecord(encodeLogRecord({ kind: 'sync-marker' }), this.syncedOffset);
    try {
      const { bytes } = this.currentSegment;
      const { bytesWritten } = await this.file.write(marker, 0, marker.length, bytes);
      // A partial marker is overwritten by the next append.
      if (bytesWritten === marker.length) this.currentSegment.bytes += marker.length;
    } catch {
      // The marker is optional; the next append reports errors of the disk.
    }
  }

  private get currentSegment(): Segment {
    return this.segments[this.segments.length - 1]!;
  }

  private async writeBatch(batch: QueuedWrite[]): Promise<void> {
    const segment = this.currentSegment;
    const records = batch.flatMap((write) => write.records);
    const header = segment.hasHeader ? [] : this.headerRecords().map(encodeLogRecord);
    const bodies = [...header, ...batch.flatMap((write) => write.bodies)];
    const bytes = Buffer.concat(bodies.map((body) => encodeRecord(body, this.syncedOffset)));
    await appendAndSync(this.file, bytes, segment.bytes, this.options.folder);
    segment.hasHeader = true;
    segment.bytes += bytes.length;
    this.syncedOffset = segment.bytes;
    this.markerNeeded = true;
    for (const record of records) this.noteWritten(segment, record);
    this.counters.syncs += 1;
    this.counters.bytes += bytes.length;
    this.counters.records += records.length;
  }

  /**
   * Removes covered segments and starts the next one, which is postponed while the disk is full.
   */
  private async rotateSegments(batch: QueuedWrite[]): Promise<void> {
    const hasSnapshot = batch.some(({ records }) =>
      records.some((record) => record.kind === 'snapshot'),
    );
    if (hasSnapshot) await this.removeOldSegments();
    const { number, bytes } = this.currentSegment;
    if (bytes < this.segmentBytes) return;
    try {
      await this.startSegment(number + 1);
    } catch (error) {
      if (!(error instanceof DiskFullError)) throw error;
      // Continues in the current segment, whose writes handle a full disk.
      await rm(this.segmentPath(number + 1), { force: true });
    }
  }

  private headerRecords(): LogRecord[] {
    return [...this.written].flatMap(([group, { hardState, mark }]): LogRecord[] => [
      { kind: 'hard-state', group, state: hardState },
      { kind: 'snapshot', group, mark },
    ]);
  }

  private noteWritten(segment: Segment, record: LogRecord): void {
    if (record.kind === 'sync-marker') return;
    const { group } = record;
    const previous = this.written.get(group) ?? NOTHING_WRITTEN;
    if (record.kind === 'hard-state')
      this.written.set(group, { ...previous, hardState: record.state });
    if (record.kind === 'snapshot') this.written.set(group, { ...previous, mark: record.mark });
    if (record.kind === 'entries') noteHighestIndex(segment, record);
  }

  /**
   * Starts a segment. Its header is written with the first batch.
   * @throws DiskFullError if the disk is full; the current segment stays in use
   */
  private async startSegment(number: number): Promise<void> {
    const file = await createFile(this.segmentPath(number), this.openFile);
    try {
      await syncFolder(this.options.folder);
    } catch (error) {
      await file.close();
      throw error;
    }
    const previous: LogFile | undefined = this.file;
    this.file = file;
    this.segments.push({ number, bytes: 0, highestIndex: new Map(), hasHeader: false });
    this.syncedOffset = 0;
    await previous?.close();
  }

  /** Removes the oldest segments while all of their entries are covered by snapshots. */
  private async removeOldSegments(): Promise<void> {
    while (this.segments.length > 1) {
      const oldest = this.segments[0]!;
      for (const [group, index] of oldest.highestIndex) {
        if (index > (this.written.get(group) ?? NOTHING_WRITTEN).mark.index) return;
      }
      await rm(this.segmentPath(oldest.number));
      this.quota.release(oldest.bytes);
      this.segments.shift();
    }
  }

  private segmentPath(number: number): string {
    const digits = String(number).padStart(SEGMENT_DIGITS, '0');
    return join(this.options.folder, `${SEGMENT_PREFIX}${digits}${SEGMENT_SUFFIX}`);
  }

  private async recover(): Promise<void> {
    const names = (await readdir(this.options.folder)).filter(
      (name) => name.startsWith(SEGMENT_PREFIX) && name.endsWith(SEGMENT_SUFFIX),
    );
    const numbers = names
      .map((name) => Number(name.slice(SEGMENT_PREFIX.length, -SEGMENT_SUFFIX.length)))
      .sort((left, right) => left - right);
    for (const [position, number] of numbers.entries()) {
      await this.recoverSegment(number, position === numbers.length - 1);
    }
    if (numbers.length === 0) {
      await this.startSegment(1);
      return;
    }
    this.file = await this.openFile(this.segmentPath(this.currentSegment.number), 'r+');
    this.syncedOffset = this.currentSegment.bytes;
    // Data and file names written by a killed process may not be synced yet.
    await this.file.datasync();
    await syncFolder(this.options.folder);
  }

  private async recoverSegment(number: number, isLast: boolean): Promise<void> {
    const path = this.segmentPath(number);
    const bytes = await readFile(path);
    // A killed process may have left an incomplete header; the next batch writes it again.
    const segment: Segment = { number, bytes: 0, highestIndex: new Map(), hasHeader: false };
    while (segment.bytes < bytes.length) {
      const record = decodeRecord(bytes, segment.bytes);
      if (!record) break;
      const decoded = decodeLogRecord(record.body);
      this.applyToGroup(decoded);
      this.noteWritten(segment, decoded);
      segment.bytes = record.end;
    }
    if (segment.bytes < bytes.length) await this.truncateTail(path, bytes, segment.bytes, isLast);
    this.quota.add(segment.bytes);
    this.segments.push(segment);
  }

  private async truncateTail(
    path: string,
    bytes: Buffer,
    end: number,
    isLast: boolean,
  ): Promise<void> {
    if (!isLast || hasSyncedDataAfter(bytes, end)) {
      throw new DamagedLogError(
        `log is damaged at byte ${end}, before synced data; replace this member by a new one`,
        { step: 'log-store.recover', peer: path },
      );
    }
    await truncate(path, end);
  }
}

function sizeOnDisk(bodies: Buffer[]): number {
  return bodies.reduce((sum, body) => sum + HEADER_BYTES + body.length, 0);
}

function noteHighestIndex(segment: Segment, record: EntriesRecord): void {
  const highest = record.entries.at(-1)?.index ?? 0;
  const known = segment.highestIndex.get(record.group) ?? 0;
  segment.highestIndex.set(record.group, Math.max(known, highest));
}
