/** Snapshot files, one per group, replaced atomically. */
import { join } from 'node:path';
import { makeFolder, replaceFileWith, syncFolder } from './data-folder.js';
import {
  type SnapshotHead,
  SnapshotReader,
  type SnapshotSource,
  writeSnapshot,
} from './snapshot-file.js';

export interface StoredSnapshot extends SnapshotHead {
  /** Encoded state machine at `index`. */
  state: Uint8Array;
}

export class SnapshotStore {
  private readonly latestIndex = new Map<string, number>();
  private writing: Promise<void> = Promise.resolve();

  constructor(private readonly folder: string) {}

  /**
   * Stores a snapshot durably, unless a later one of the group is already stored.
   * @throws DiskFullError if the disk is full; the previous snapshot is kept
   */
  write(group: string, source: SnapshotSource): Promise<void> {
    const written = this.writing.then(() => this.replace(group, source));
    this.writing = written.catch(() => undefined);
    return written;
  }

  private async replace(group: string, source: SnapshotSource): Promise<void> {
    if (source.index <= (this.latestIndex.get(group) ?? 0)) return;
    await makeFolder(this.folder);
    await replaceFileWith(this.folder, fileName(group), (file) => writeSnapshot(file, source));
    this.latestIndex.set(group, source.index);
  }

  /**
   * Reads a group's complete snapshot.
   * @throws DamagedLogError if the checksum does not match
   */
  async read(group: string): Promise<StoredSnapshot | undefined> {
    const reader = await this.open(group);
    if (!reader) return undefined;
    try {
      // A killed process may have renamed the file without syncing the folder.
      await syncFolder(this.folder);
      const state = await reader.read(reader.stateBytes);
      const { index } = reader.head;
      this.latestIndex.set(group, Math.max(index, this.latestIndex.get(group) ?? 0));
      return { ...reader.head, state };
    } finally {
      await reader.close();
    }
  }

  /** Opens a group's snapshot for reading in chunks. The caller must close the reader. */
  open(group: string): Promise<SnapshotReader | undefined> {
    return SnapshotReader.open(join(this.folder, fileName(group)));
  }
}

function fileName(group: string): string {
  return `snapshot-${group}`;
}
