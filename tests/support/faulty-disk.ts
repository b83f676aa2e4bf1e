/** A disk for a write-ahead log that can run full, write partially, or stall. */
import { open } from 'node:fs/promises';
import type { LogFile, OpenLogFile } from '../../src/log-store/index.js';
import { Deferred } from '../../src/common/index.js';

export class FaultyDisk {
  /** Bytes that can still be written; undefined for no limit. */
  freeBytes: number | undefined;
  /** Whether creating files fails; existing files stay writable. */
  refusesNewFiles = false;
  private stalled: Deferred<void> | undefined;

  /** @param onSync called at each sync */
  constructor(private readonly onSync: () => void = () => undefined) {}

  /** Blocks syncs until `resume`. */
  stall(): void {
    this.stalled = new Deferred();
  }

  resume(): void {
    this.stalled?.resolve();
    this.stalled = undefined;
  }

  readonly openFile: OpenLogFile = async (path, flags) => {
    if (this.refusesNewFiles && flags === 'w') throw noSpaceError();
    const file = await open(path, flags);
    const faulty: LogFile = {
      write: (bytes, start, length, offset) =>
        file.write(bytes, start, this.takeFreeBytes(length), offset),
      truncate: (length) => file.truncate(length),
      datasync: async () => {
        await this.stalled?.promise;
        this.onSync();
        await file.datasync();
      },
      close: () => file.close(),
    };
    return faulty;
  };

  /** Like a real disk, writes the part that fits and fails the next write. */
  private takeFreeBytes(length: number): number {
    if (this.freeBytes === undefined) return length;
    if (this.freeBytes === 0) throw noSpaceError();
    const taken = Math.min(length, this.freeBytes);
    this.freeBytes -= taken;
    return taken;
  }
}

function noSpaceError(): Error {
  return Object.assign(new Error('ENOSPC: no space left on device'), { code: 'ENOSPC' });
}
