/** Durable storage for replicated groups: write-ahead log and snapshots. */
export * from './errors.js';
export {
  type LogFile,
  type OpenLogFile,
  type ReadableFile,
  makeFolder,
  readBytes,
  readFileIfPresent,
  replaceFile,
  storageError,
  syncFolder,
  writeWhole,
} from './data-folder.js';
export { GroupLogState } from './group-log-state.js';
export type { HardState, LogEntry, LogRecord, SnapshotMark } from './records.js';
export { type SnapshotHead, SnapshotReader, type SnapshotSource } from './snapshot-file.js';
export { SnapshotStore, type StoredSnapshot } from './snapshot-store.js';
export { WriteAheadLog, type WriteAheadLogOptions } from './write-ahead-log.js';
