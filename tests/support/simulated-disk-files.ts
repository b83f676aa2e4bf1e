/**
 * Replaces the functions of `node:fs/promises` that the stores use, for paths on simulated disks:
 *
 *     vi.mock('node:fs/promises', async (importOriginal) => {
 *       const { withSimulatedDisks } = await import('…/simulated-disk-files.js');
 *       return withSimulatedDisks(await importOriginal());
 *     });
 */
import type * as fileSystem from 'node:fs/promises';
import { FileNode, FolderNode } from './simulated-disk-nodes.js';
import { type SimulatedPath, parseSimulatedPath } from './simulated-disk.js';

type FileSystem = typeof fileSystem;

/** The part of `FileHandle` that the stores use. */
type SimulatedHandle = ReturnType<typeof fileHandle>;

function errorWith(code: string, path: string): Error {
  return Object.assign(new Error(`${code}: ${path}`), { code });
}

function pathOf({ segments }: SimulatedPath): string {
  return `/${segments.join('/')}`;
}

function parentOf(place: SimulatedPath): FolderNode {
  const parent = place.disk.find(place.segments.slice(0, -1));
  if (!(parent instanceof FolderNode)) throw errorWith('ENOENT', pathOf(place));
  return parent;
}

function nameOf({ segments }: SimulatedPath): string {
  return segments.at(-1)!;
}

function existingFile(place: SimulatedPath): FileNode {
  const file = place.disk.find(place.segments);
  if (!(file instanceof FileNode)) throw errorWith('ENOENT', pathOf(place));
  return file;
}

async function openPath(place: SimulatedPath, flags: string): Promise<SimulatedHandle> {
  const { disk, process } = place;
  await disk.step(process, `open ${flags} ${pathOf(place)}`);
  if (flags === 'r' || flags === 'r+') {
    const node = disk.find(place.segments);
    if (!node) throw errorWith('ENOENT', pathOf(place));
    return node instanceof FolderNode ? folderHandle(place, node) : fileHandle(place, node);
  }
  return fileHandle(place, createEmptyFile(place));
}

function createEmptyFile(place: SimulatedPath): FileNode {
  const parent = parentOf(place);
  const existing = parent.find(nameOf(place));
  if (existing instanceof FileNode) {
    existing.truncate(0);
    return existing;
  }
  const created = new FileNode(parent);
  parent.add(nameOf(place), created);
  return created;
}

/** A handle of a folder, of which only `sync` is used. */
function folderHandle(place: SimulatedPath, folder: FolderNode): SimulatedHandle {
  const handle = fileHandle(place, new FileNode(folder));
  return {
    ...handle,
    sync: async () => {
      await place.disk.step(place.process, `sync folder ${pathOf(place)}`);
      folder.sync();
    },
  };
}

function fileHandle(place: SimulatedPath, file: FileNode) {
  const { disk, process } = place;
  const path = pathOf(place);
  let isOpen = true;
  let position = 0;
  const step = async (operation: string, onKill?: () => void): Promise<void> => {
    if (!isOpen) throw errorWith('EBADF', path);
    await disk.step(process, `${operation} ${path}`, onKill);
  };
  const write = async (offset: number, bytes: Uint8Array): Promise<void> => {
    await step('write', () => disk.writePart(file, offset, bytes));
    file.write(offset, bytes);
  };
  const sync = async (): Promise<void> => {
    await step('sync');
    disk.syncFile(file);
  };
  return {
    read: async (buffer: Uint8Array, start: number, length: number, offset: number) => {
      await step('read');
      const part = file.bytes.subarray(offset, offset + length);
      buffer.set(part, start);
      return { bytesRead: part.length, buffer };
    },
    write: async (bytes: Uint8Array, start: number, length: number, offset: number) => {
      await write(offset, bytes.subarray(start, start + length));
      return { bytesWritten: length, buffer: bytes };
    },
    writeFile: async (bytes: Uint8Array) => {
      await write(position, bytes);
      position += bytes.length;
    },
    truncate: async (length: number) => {
      await step('truncate');
      file.truncate(length);
    },
    stat: async () => {
      await step('stat');
      return { size: file.bytes.length };
    },
    datasync: sync,
    sync,
    close: async () => {
      isOpen = false;
    },
  };
}

async function makeFolders(place: SimulatedPath, path: string): Promise<string | undefined> {
  const { disk, process, segments } = place;
  await disk.step(process, `mkdir ${pathOf(place)}`);
  const missingCount = segments.filter(
    (_, index) => !disk.find(segments.slice(0, index + 1)),
  ).length;
  for (let depth = segments.length - missingCount; depth < segments.length; depth += 1) {
    const parent = disk.find(segments.slice(0, depth)) as FolderNode;
    parent.add(segments[depth]!, new FolderNode(parent));
  }
  if (missingCount === 0) return undefined;
  return path
    .split('/')
    .slice(0, 1 - missingCount || undefined)
    .join('/');
}

async function renamePath(from: SimulatedPath, to: SimulatedPath): Promise<void> {
  await from.disk.step(from.process, `rename ${pathOf(to)}`);
  const folder = parentOf(from);
  if (folder !== parentOf(to))
    throw new Error('simulated disks support renames only within one folder');
  existingFile(from);
  folder.rename(nameOf(from), nameOf(to));
}

async function removePath(place: SimulatedPath, isForced: boolean): Promise<void> {
  await place.disk.step(place.process, `remove ${pathOf(place)}`);
  const node = place.disk.find(place.segments);
  if (!node && !isForced) throw errorWith('ENOENT', pathOf(place));
  if (node) parentOf(place).remove(nameOf(place));
}

async function listPath(place: SimulatedPath): Promise<string[]> {
  await place.disk.step(place.process, `list ${pathOf(place)}`);
  const folder = place.disk.find(place.segments);
  if (!(folder instanceof FolderNode)) throw errorWith('ENOENT', pathOf(place));
  return folder.names;
}

async function readPath(place: SimulatedPath): Promise<Buffer> {
  await place.disk.step(place.process, `read ${pathOf(place)}`);
  return Buffer.from(existingFile(place).bytes);
}

async function truncatePath(place: SimulatedPath, length: number): Promise<void> {
  await place.disk.step(place.process, `truncate ${pathOf(place)}`);
  existingFile(place).truncate(length);
}

/** Redirects paths on simulated disks; other paths use the file system. */
export function withSimulatedDisks(original: FileSystem): FileSystem {
  const route = <Result>(
    path: unknown,
    simulated: (place: SimulatedPath) => Promise<unknown>,
    real: () => Promise<Result>,
  ): Promise<Result> => {
    const place = parseSimulatedPath(String(path));
    return place ? (simulated(place) as Promise<Result>) : real();
  };
  const replaced = {
    open: (path: string, flags: string) =>
      route(
        path,
        (place) => openPath(place, flags),
        () => original.open(path, flags),
      ),
    readFile: (path: string) => route(path, readPath, () => original.readFile(path)),
    readdir: (path: string) => route(path, listPath, () => original.readdir(path)),
    truncate: (path: string, length: number) =>
      route(
        path,
        (place) => truncatePath(place, length),
        () => original.truncate(path, length),
      ),
    rename: (from: string, to: string) =>
      route(
        from,
        (place) => renamePath(place, parseSimulatedPath(to)!),
        () => original.rename(from, to),
      ),
    rm: (path: string, options: { force?: boolean } = {}) =>
      route(
        path,
        (place) => removePath(place, options.force ?? false),
        () => original.rm(path, options),
      ),
    mkdir: (path: string, options: { recursive: true }) =>
      route(
        path,
        (place) => makeFolders(place, path),
        () => original.mkdir(path, options),
      ),
  };
  return { ...original, ...replaced } as FileSystem;
}
