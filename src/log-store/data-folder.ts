/** File operations of a data folder, with the syncs that make them last. */
import { type FileHandle, mkdir, open, readFile, readdir, rename, rm } from 'node:fs/promises';
import { dirname, join } from 'node:path';
import { DiskFullError, StorageFailedError, StorageFullError } from './errors.js';

/** What a log needs of a file; a `FileHandle` has all of it. */
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

/** Error codes of a file that this process may not read. */
const FORBIDDEN_CODES: ReadonlySet<string | undefined> = new Set(['EACCES', 'EPERM']);

/** Error codes of a disk, or of a share of it, that takes no more bytes. */
const FULL_CODES: ReadonlySet<string | undefined> = new Set(['ENOSPC', 'EDQUOT']);

/**
 * Makes a folder, with those above it that are missing, so that it lasts: files that are synced in a
 * folder whose own name is lost are lost with it.
 */
export async function makeFolder(path: string): Promise<void> {
  const firstCreated = await mkdir(path, { recursive: true });
  if (firstCreated === undefined) return syncParentsOfEmptyFolder(path);
  const stop = dirname(firstCreated);
  for (let created = path; created !== stop; created = dirname(created))
    await syncFolder(dirname(created));
}

/**
 * A process that was killed may have made an empty folder, with some above it that hold nothing else, and not
 * synced their names.
 */
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
    // What this process may not read was made by another, which has synced it or answers for it.
    if (!FORBIDDEN_CODES.has((error as NodeJS.ErrnoException).code)) throw error;
  }
}

/** Syncs a folder, so that created and renamed entries last. */
export async function syncFolder(path: string): Promise<void> {
  const folder = await open(path, 'r');
  try {
    await folder.sync();
  } finally {
    await folder.close();
  }
}

/**
 * Writes a whole file so that after a crash either the old or the new content is there.
 * @throws DiskFullError when the disk has no room; the old content stands then
 */
export function replaceFile(folder: string, name: string, bytes: Uint8Array): Promise<void> {
  return replaceFileWith(folder, name, (file) => file.writeFile(bytes));
}

/**
 * The same for content that is written to the new file piece by piece.
 * @throws DiskFullError when the disk has no room; the old content stands then
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
    // Whatever was written of it takes room that others need; the error itself is reported.
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

/** Makes an empty file. @throws DiskFullError when the disk has no room for it */
export async function createFile(path: string, openFile: OpenLogFile): Promise<LogFile> {
  try {
    return await openFile(path, 'w');
  } catch (cause) {
    throw storageError(cause, { step: 'data-folder.create', peer: path });
  }
}

/** Tells a full disk, which may have room again, from a failure that leaves the content unknown. */
export function storageError(cause: unknown, context: { step: string; peer: string }): Error {
  if (FULL_CODES.has((cause as NodeJS.ErrnoException).code)) {
    return new DiskFullError('disk is full', { ...context, retriable: true, cause });
  }
  return new StorageFailedError('write failed', { ...context, cause });
}

/** Reads a file, or returns undefined when there is none. */
export async function readFileIfPresent(path: string): Promise<Buffer | undefined> {
  try {
    return await readFile(path);
  } catch (error) {
    if ((error as NodeJS.ErrnoException).code === 'ENOENT') return undefined;
    throw error;
  }
}

/** Share of the quota that new entries may fill; the rest is kept for votes and snapshots. */
const ENTRY_QUOTA_FRACTION = 0.9;

/** Counts bytes against a quota, so that a full disk refuses new work before anything is written. */
export class StorageQuota {
  private used = 0;

  /** @param limitBytes no limit when undefined */
  constructor(private readonly limitBytes: number | undefined) {}

  /**
   * Takes `bytes` from the quota.
   * @param isRefusable whether the bytes are new work, which may not fill the last tenth
   * @throws StorageFullError when they would not fit
   */
  reserve(bytes: number, isRefusable: boolean, peer: string): void {
    if (this.limitBytes !== undefined) {
      const limit = isRefusable ? this.limitBytes * ENTRY_QUOTA_FRACTION : this.limitBytes;
      if (this.used + bytes > limit) {
        const context = { step: 'log-store.append', peer, retriable: true };
        throw new StorageFullError('data folder is full', context);
      }
    }
    this.used += bytes;
  }

  /** Counts bytes that are there already. */
  add(bytes: number): void {
    this.used += bytes;
  }

  release(bytes: number): void {
    this.used = Math.max(0, this.used - bytes);
  }
}

/**
 * Appends to a file at a known offset and syncs it.
 * @throws DiskFullError when the disk has no room; the same may be appended again later
 * @throws StorageFailedError when the content of the file is unknown
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
    // A part that stays is written over by the next append, or cut off as a torn tail at a start.
    await file.truncate(offset).catch(() => undefined);
    throw storageError(cause, { step: 'log-store.append', peer });
  }
  try {
    await file.datasync();
  } catch (cause) {
    throw new StorageFailedError('sync failed', { step: 'log-store.sync', peer, cause });
  }
}

/** A disk that fills up accepts a part of a write without an error; the next write tells. */
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

/** A file that can be read anywhere; offsets and lengths are in bytes. */
export interface ReadableFile {
  read(
    buffer: Uint8Array,
    start: number,
    length: number,
    offset: number,
  ): Promise<{ bytesRead: number }>;
}

/** Reads exactly so many bytes, into memory of their own; undefined when the file ends before. */
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
