/**
 * Replaces `node:fs/promises` for logs and snapshots by files in memory whose syncs take a fixed time, so that tests
 * with simulated time do not depend on the disk.
 *
 *     vi.mock('node:fs/promises', () => import('../../tests/support/memory-files.js'));
 */
import { dirname } from 'node:path';
import { sleep } from '../../src/common/index.js';

/** Duration of a sync, like that of a flash disk under load. */
export const SYNC_DURATION_MS = 2;

const INITIAL_CAPACITY_BYTES = 4_096;

class MemoryFile {
  private buffer = Buffer.alloc(0);
  private length = 0;

  get content(): Buffer {
    return this.buffer.subarray(0, this.length);
  }

  put(bytes: Uint8Array, offset: number): void {
    const end = offset + bytes.length;
    if (end > this.buffer.length) this.grow(end);
    this.buffer.set(bytes, offset);
    this.length = Math.max(this.length, end);
  }

  truncate(length: number): void {
    this.buffer.fill(0, length);
    this.length = length;
  }

  private grow(neededBytes: number): void {
    const grown = Buffer.alloc(
      Math.max(neededBytes, 2 * this.buffer.length, INITIAL_CAPACITY_BYTES),
    );
    grown.set(this.content);
    this.buffer = grown;
  }
}

/** The part of `FileHandle` that logs and snapshots use. */
class MemoryHandle {
  private position = 0;

  constructor(private readonly file: MemoryFile) {}

  async write(
    bytes: Uint8Array,
    start: number,
    length: number,
    offset: number,
  ): Promise<{ bytesWritten: number }> {
    this.file.put(bytes.subarray(start, start + length), offset);
    return { bytesWritten: length };
  }

  async writeFile(bytes: Uint8Array): Promise<void> {
    this.file.put(bytes, this.position);
    this.position += bytes.length;
  }

  async read(
    buffer: Uint8Array,
    start: number,
    length: number,
    offset: number,
  ): Promise<{ bytesRead: number }> {
    const part = this.file.content.subarray(offset, offset + length);
    buffer.set(part, start);
    return { bytesRead: part.length };
  }

  async stat(): Promise<{ size: number }> {
    return { size: this.file.content.length };
  }

  async truncate(length: number): Promise<void> {
    this.file.truncate(length);
  }

  async datasync(): Promise<void> {
    await sleep(SYNC_DURATION_MS);
  }

  async sync(): Promise<void> {
    await sleep(SYNC_DURATION_MS);
  }

  async close(): Promise<void> {}
}

const files = new Map<string, MemoryFile>();
const folders = new Set<string>();

function isIn(folder: string, path: string): boolean {
  return path === folder || path.startsWith(`${folder}/`);
}

function noSuchFileError(path: string): Error {
  return Object.assign(new Error(`ENOENT: no such file, '${path}'`), { code: 'ENOENT' });
}

function fileAt(path: string): MemoryFile {
  const file = files.get(path);
  if (!file) throw noSuchFileError(path);
  return file;
}

/** @param flags 'w' truncates or creates the file */
export async function open(path: string, flags: 'r' | 'r+' | 'w'): Promise<MemoryHandle> {
  if (folders.has(path)) return new MemoryHandle(new MemoryFile());
  if (flags === 'w') files.set(path, new MemoryFile());
  return new MemoryHandle(fileAt(path));
}

/** @returns the first created folder */
export async function mkdir(path: string): Promise<string | undefined> {
  let firstCreated: string | undefined;
  for (let folder = path; !folders.has(folder); folder = dirname(folder)) {
    folders.add(folder);
    if (folder === dirname(folder)) break;
    firstCreated = folder;
  }
  return firstCreated;
}

export async function readdir(path: string): Promise<string[]> {
  return [...files.keys()]
    .filter((name) => dirname(name) === path)
    .map((name) => name.slice(path.length + 1));
}

export async function readFile(path: string): Promise<Buffer> {
  return Buffer.from(fileAt(path).content);
}

export async function truncate(path: string, length: number): Promise<void> {
  fileAt(path).truncate(length);
}

export async function rename(from: string, to: string): Promise<void> {
  files.set(to, fileAt(from));
  files.delete(from);
}

/** Removes a file, or a folder with its content. */
export async function rm(path: string): Promise<void> {
  for (const name of files.keys()) if (isIn(path, name)) files.delete(name);
  for (const name of folders) if (isIn(path, name)) folders.delete(name);
}
