/** Durable file operations in a data folder. */
import { type FileHandle, mkdir, open, readFile, readdir, rename, rm } from 'node:fs/promises';
import { dirname, join } from 'node:path';
import { DiskFullError, StorageFailedError, StorageFullError } from './errors.js';

/** File operations that the log uses; `FileHandle` implements them. */
export interface LogFile {
  write(
    bytes: Uint8Array,
    start: number,
    length: number,
    offset: number,
  ): Promise<{ bytesWritten: number }>;
  truncate(length: number): Promise<void>;
  datasync(): Promise<void>;
  close(): Promise<void>;
}

export type OpenLogFile = (path: string, flags: 'r+' | 'w') => Promise<LogFile>;

/** Error codes for a file that this process has no permission to read. */
const FORBIDDEN_CODES: ReadonlySet<string | undefined> = new Set(['EACCES', 'EPERM']);

/** Error codes for a full disk or an exhausted disk quota. */
const FULL_CODES: ReadonlySet<string | undefined> = new Set(['ENOSPC', 'EDQUOT']);

/**
 * Creates a folder and its missing parents durably. Without a sync of the parent folder, a power
 * loss could remove the folder together with synced files in it.
 */
export async function makeFolder(path: string): Promise<void> {
  const firstCreated = await mkdir(path, { recursive: true });
  if (firstCreated === undefined) return syncParentsOfEmptyFolder(path);
  const stop = dirname(firstCreated);
  for (let created = path; created !== stop; created = dirname(created))
    await syncFolder(dirname(created));
}

/** Syncs the parents of an empty folder: a killed process may have created them without a sync. */
async function syncParentsOfEmptyFolder(path: string): Promise<void> {
  let folder = path;
  let maxNames = 0;
  try {
    while (folder !== dirname(folder) && (await readdir(folder)).length <= maxNames) {
      folder = dirname(folder);
      await syncFolder(folder);
      maxNames = 1;
    }
  } catch (error) {
    // An unreadable parent was created by another user, who is responsible for syncing it.
    if (!FORBIDDEN_CODES.has((error as NodeJS.ErrnoException).code)) throw error;
  }
}

/** Syncs a folder, which makes created and renamed entries durable. */
export async function syncFolder(path: string): Promise<void> {
  const folder = await open(path, 'r');
  try {
    await folder.sync();
  } finally {
    await folder.close();
  }
}

/**
 * Replaces a file atomically: after a crash it has either the old or the new content.
 * @throws DiskFullError if the disk is full; the old content is kept
 */
export function replaceFile(folder: string, name: string, bytes: Uint8Array): Promise<void> {
  return replaceFileWith(folder, name, (file) => file.writeFile(bytes));
}

/**
 * Replaces a file atomically with content that is written in pieces.
 * @throws DiskFullError if the disk is full; the old content is kept
 */
export async function replaceFileWith(
  folder: string,
  name: string,
  writeContent: (file: FileHandle) => Promise<void>,
): Promise<void> {
  const temporary = join(folder, `${name}.new`);
  try {
    await writeAndSync(temporary, writeContent);
  } catch (cause) {
    // Frees the space of the partial file. Only the original error is reported.
    await rm(temporary, { force: true }).catch(() => undefined);
    throw storageError(cause, { step: 'data-folder.replace', peer: temporary });
  }
  await rename(temporary, join(folder, name));
  await syncFolder(folder);
}

async function writeAndSync(
  path: string,
  writeContent: (file: FileHandle) => Promise<void>,
): Promise<void> {
  const file = await open(path, 'w');
  try {
    await writeContent(file);
    await file.datasync();
  } finally {
    await file.close();
  }
}

/** Creates an empty file. @throws DiskFullError if the disk is full */
export async function createFile(path: string, openFile: OpenLogFile): Promise<LogFile> {
  try {
    return await openFile(path, 'w');
  } catch (cause) {
    throw storageError(cause, { step: 'data-folder.create', peer: path });
  }
}

/**
 * Distinguishes a full disk, which can be retried, from a failure that leaves the content unknown.
 */
export function storageError(cause: unknown, context: { step: string; peer: string }): Error {
  if (FULL_CODES.has((cause as NodeJS.ErrnoException).code)) {
    return new DiskFullError('disk is full', { ...context, retriable: true, cause });
  }
  return new StorageFailedError('write failed', { ...context, cause });
}

/** Reads a file; returns undefined if it does not exist. */
export async function readFileIfPresent(path: string): Promise<Buffer | undefined> {
  try {
    return await readFile(path);
  } catch (error) {
    if ((error as NodeJS.ErrnoException).code === 'ENOENT') return undefined;
    throw error;
  }
}

/** Fraction of the quota available to new entries; the rest is reserved for votes and snapshots. */
const ENTRY_QUOTA_FRACTION = 0.9;

/** Counts bytes against a quota, so that new work is rejected before anything is written. */
export class StorageQuota {
  private used = 0;

  /** @param limitBytes undefined for no limit */
  constructor(private readonly limitBytes: number | undefined) {}

  /**
   * Reserves `bytes` of the quota.
   * @param isRefusable whether the bytes are new work, which may not use the reserve
   * @throws StorageFullError if the bytes exceed the limit
   */
  reserve(bytes: number, isRefusable: boolean, peer: string): void {
    if (this.limitBytes !== undefined) {
      const limit = isRefusable ? this.limitBytes * ENTRY_QUOTA_FRACTION : this.limitBytes;
      if (this.used + bytes > limit) {
        const context = { step: 'log-store.append', peer, retriable: true };
        throw new StorageFullError('storage quota is used up', context);
      }
    }
    this.used += bytes;
  }

  /** Counts bytes that are already stored. */
  add(bytes: number): void {
    this.used += bytes;
  }

  release(bytes: number): void {
    this.used = Math.max(0, this.used - bytes);
  }
}

/**
 * Appends to a file at a known offset and syncs it.
 * @throws DiskFullError if the disk is full; the same data may be appended again later
 * @throws StorageFailedError if the content of the file is unknown
 */
export async function appendAndSync(
  file: LogFile,
  bytes: Buffer,
  offset: number,
  peer: string,
): Promise<void> {
  try {
    await writeWhole(file, bytes, offset);
  } catch (cause) {
    // A remaining part is overwritten by the next append, or truncated as a torn tail during
    // recovery.
    await file.truncate(offset).catch(() => undefined);
    throw storageError(cause, { step: 'log-store.append', peer });
  }
  try {
    await file.datasync();
  } catch (cause) {
    throw new StorageFailedError('sync failed', { step: 'log-store.sync', peer, cause });
  }
}

/** Repeats partial writes. A disk that fills up may accept part of a write without an error. */
export async function writeWhole(
  file: Pick<LogFile, 'write'>,
  bytes: Buffer,
  offset: number,
): Promise<void> {
  let written = 0;
  while (written < bytes.length) {
    const length = bytes.length - written;
    const { bytesWritten } = await file.write(bytes, written, length, offset + written);
    written += bytesWritten;
  }
}

/** A file with random read access; offsets and lengths are in bytes. */
export interface ReadableFile {
  read(
    buffer: Uint8Array,
    start: number,
    length: number,
    offset: number,
  ): Promise<{ bytesRead: number }>;
}

/** Reads exactly `length` bytes into a new buffer; returns undefined if the file ends before. */
export async function readBytes(
  file: ReadableFile,
  offset: number,
  length: number,
): Promise<Buffer | undefined> {
  const bytes = Buffer.allocUnsafeSlow(length);
  let read = 0;
  while (read < length) {
    const { bytesRead } = await file.read(bytes, read, length - read, offset + read);
    if (bytesRead === 0) return undefined;
    read += bytesRead;
  }
  return bytes;
}
