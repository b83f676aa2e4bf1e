/** File operations that a value store uses. */
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

/** A file of the store. Offsets and lengths are in bytes. */
export interface StoreFile extends LogFile, ReadableFile {
  size(): Promise<number>;
}

/** The folder of one store. File names are relative to it. */
export interface StoreFolder {
  /** Path of the folder, for errors and log entries. */
  readonly path: string;
  list(): Promise<string[]>;
  /** Creates an empty file. @throws DiskFullError when the disk is full */
  create(name: string): Promise<StoreFile>;
  /** Opens an existing file for reading and syncing. */
  open(name: string): Promise<StoreFile>;
  /** Replaces a file atomically: after a crash it has either the old or the new content. */
  replace(name: string, bytes: Uint8Array): Promise<void>;
  remove(name: string): Promise<void>;
  /** Makes the creation and removal of files durable. */
  sync(): Promise<void>;
}

/** Opens a folder of the file system, and creates it if it does not exist. */
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
