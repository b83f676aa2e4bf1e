/** File operations of a data folder, with the syncs that make them last. */
import { open, readFile, rename, type FileHandle } from 'node:fs/promises';
import { join } from 'node:path';
import { StorageFailedError, StorageFullError } from './errors.js';

/** Syncs a folder, so that created and renamed entries last. */
export async function syncFolder(path: string): Promise<void> {
  const folder = await open(path, 'r');
  try {
    await folder.sync();
  } finally {
    await folder.close();
  }
}

/** Writes a whole file so that after a crash either the old or the new content is there. */
export async function replaceFile(folder: string, name: string, bytes: Uint8Array): Promise<void> {
  const temporary = join(folder, `${name}.new`);
  const file = await open(temporary, 'w');
  try {
    await file.writeFile(bytes);
    await file.datasync();
  } finally {
    await file.close();
  }
  await rename(temporary, join(folder, name));
  await syncFolder(folder);
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
const REFUSABLE_SHARE = 0.9;

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
  take(bytes: number, isRefusable: boolean, peer: string): void {
    if (this.limitBytes !== undefined) {
      const limit = isRefusable ? this.limitBytes * REFUSABLE_SHARE : this.limitBytes;
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

/** Appends to a file at a known offset and syncs it. */
export async function appendAndSync(
  file: FileHandle,
  bytes: Buffer,
  offset: number,
  peer: string,
): Promise<void> {
  try {
    await file.write(bytes, 0, bytes.length, offset);
  } catch (cause) {
    const code = (cause as NodeJS.ErrnoException).code;
    await file.truncate(offset).catch(() => undefined);
    if (code === 'ENOSPC' || code === 'EDQUOT') {
      throw new StorageFullError('disk is full', { step: 'log-store.append', peer, cause });
    }
    throw new StorageFailedError('write failed', { step: 'log-store.append', peer, cause });
  }
  try {
    await file.datasync();
  } catch (cause) {
    throw new StorageFailedError('sync failed', { step: 'log-store.sync', peer, cause });
  }
}
