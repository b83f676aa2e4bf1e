/** Snapshot files: one a group, replaced as a whole, with a checksum in front. */
import { mkdir } from 'node:fs/promises';
import { join } from 'node:path';
import { crc32 } from 'node:zlib';
import { decodeValue, encodeValue } from '../wire/frame-codec.js';
import { readFileIfPresent, replaceFile } from './data-folder.js';
import { DamagedLogError } from './errors.js';
import type { SnapshotMark } from './records.js';

const CHECKSUM_BYTES = 4;

export interface StoredSnapshot extends SnapshotMark {
  /** Encoded members of the group at `index`. */
  configuration: Uint8Array;
  /** Encoded state of the state machine at `index`. */
  state: Uint8Array;
}

export class SnapshotStore {
  private readonly latestIndex = new Map<string, number>();
  private writing: Promise<void> = Promise.resolve();

  constructor(private readonly folder: string) {}

  /** Makes a snapshot durable, unless a later one of the group is stored already. */
  write(group: string, snapshot: StoredSnapshot): Promise<void> {
    const written = this.writing.then(() => this.replace(group, snapshot));
    this.writing = written.catch(() => undefined);
    return written;
  }

  private async replace(group: string, snapshot: StoredSnapshot): Promise<void> {
    if (snapshot.index <= (this.latestIndex.get(group) ?? 0)) return;
    await mkdir(this.folder, { recursive: true });
    const body = encodeValue(snapshot);
    const checksum = Buffer.alloc(CHECKSUM_BYTES);
    checksum.writeUInt32LE(crc32(body));
    await replaceFile(this.folder, fileName(group), Buffer.concat([checksum, body]));
    this.latestIndex.set(group, snapshot.index);
  }

  /** @throws DamagedLogError when the file's checksum does not match */
  async read(group: string): Promise<StoredSnapshot | undefined> {
    const path = join(this.folder, fileName(group));
    const bytes = await readFileIfPresent(path);
    if (!bytes) return undefined;
    const body = bytes.subarray(CHECKSUM_BYTES);
    if (bytes.length < CHECKSUM_BYTES || bytes.readUInt32LE(0) !== crc32(body)) {
      throw new DamagedLogError('snapshot is damaged', { step: 'snapshot.read', peer: path });
    }
    const snapshot = decodeValue<StoredSnapshot>(body);
    this.latestIndex.set(group, Math.max(snapshot.index, this.latestIndex.get(group) ?? 0));
    return snapshot;
  }
}

function fileName(group: string): string {
  return `snapshot-${group}`;
}
