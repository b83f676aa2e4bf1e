/** The files of a value store, and the few operations on them that it needs. */
import { type FileHandle, open, readdir, rm } from 'node:fs/promises';
import { join } from 'node:path';
import {
  type LogFile,
  type ReadableFile,
  makeFolder,
  replaceFile,
  storageError,
  syncFolder,
} from '../log-store/index.js';

/** One file; offsets and lengths are in bytes. */
export interface StoreFile extends LogFile, ReadableFile {
  size(): Promise<number>;
}

/** A folder whose files belong to one store. Names stand without their folder. */
export interface StoreFolder {
  /** Where the folder is, for errors and log lines. */
  readonly path: string;
  list(): Promise<string[]>;
  /** Makes an empty file. @throws DiskFullError when there is no room for it */
  create(name: string): Promise<StoreFile>;
  /** Opens a file for reading, and for syncing what was written to it before. */
  open(name: string): Promise<StoreFile>;
  /** Writes a whole file: after a crash it is there whole or not at all. */
  replace(name: string, bytes: Uint8Array): Promise<void>;
  remove(name: string): Promise<void>;
  /** Makes the names of files that were made or removed last. */
  sync(): Promise<void>;
}

/** A folder of the file system, made if it is not there. */
export async function openStoreFolder(path: string): Promise<StoreFolder> {
  await makeFolder(path);
  return {
    path,
    list: () => readdir(path),
    create: async (name) => {
      try {
        return storeFile(await open(join(path, name), 'w+'));
      } catch (cause) {
        throw storageError(cause, { step: 'value-store.create', peer: join(path, name) });
      }
    },
    open: async (name) => storeFile(await open(join(path, name), 'r+')),
    replace: (name, bytes) => replaceFile(path, name, bytes),
    remove: (name) => rm(join(path, name), { force: true }),
    sync: () => syncFolder(path),
  };
}

function storeFile(file: FileHandle): StoreFile {
  return {
    read: (buffer, start, length, offset) => file.read(buffer, start, length, offset),
    write: (bytes, start, length, offset) => file.write(bytes, start, length, offset),
    truncate: (length) => file.truncate(length),
    datasync: () => file.datasync(),
    close: () => file.close(),
    size: async () => (await file.stat()).size,
  };
}
