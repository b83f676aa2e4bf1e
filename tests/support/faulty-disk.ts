/** Files of a write-ahead log whose disk fills up, accepts parts of writes, or stalls, on request. */
import { open } from 'node:fs/promises';
import type { LogFile, OpenLogFile } from '../../src/log-store/index.js';
import { Deferred } from '../../src/common/index.js';

export class FaultyDisk {
  /** Writes beyond this many bytes from now on are refused; no limit when undefined. */
  freeBytes: number | undefined;
  /** Files can't be made, though those that are there may still be written. */
  refusesNewFiles = false;
  private stalled: Deferred<void> | undefined;

  /** Syncs wait until `resume`. */
  stall(): void {
    this.stalled = new Deferred();
  }

  resume(): void {
    this.stalled?.resolve();
    this.stalled = undefined;
  }

  readonly openFile: OpenLogFile = async (path, flags) => {
    if (this.refusesNewFiles && flags === 'w') throw noSpace();
    const file = await open(path, flags);
    const faulty: LogFile = {
      write: (bytes, start, length, offset) =>
        file.write(bytes, start, this.takeRoom(length), offset),
      truncate: (length) => file.truncate(length),
      datasync: async () => {
        await this.stalled?.promise;
        await file.datasync();
      },
      close: () => file.close(),
    };
    return faulty;
  };

  /** Like a real disk, accepts what fits of a write and refuses the next one. */
  private takeRoom(length: number): number {
    if (this.freeBytes === undefined) return length;
    if (this.freeBytes === 0) throw noSpace();
    const taken = Math.min(length, this.freeBytes);
    this.freeBytes -= taken;
    return taken;
  }
}

function noSpace(): Error {
  return Object.assign(new Error('ENOSPC: no space left on device'), { code: 'ENOSPC' });
}
