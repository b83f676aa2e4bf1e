/**
 * An in-memory folder for value stores. Power can fail at any operation: synced data remains, and every
 * later write is kept, dropped or torn. The folder can also run out of space.
 */
import type { StoreFile, StoreFolder } from '../../src/value-store/index.js';
import { type SeededRandom, sleep } from '../../src/common/index.js';

interface Write {
  bytes: Buffer;
  offset: number;
}

class SimulatedFile {
  /** Content that survives a power failure. */
  durable: Buffer = Buffer.alloc(0);
  unsynced: Write[] = [];
  /** Whether the directory entry survives a power failure. */
  isNameDurable = false;

  get content(): Buffer {
    return this.unsynced.reduce(withWrite, this.durable);
  }

  sync(): void {
    this.durable = this.content;
    this.unsynced = [];
    this.isNameDurable = true;
  }

  afterPowerLoss(random: SeededRandom): Buffer {
    const kept = this.unsynced.flatMap((write): Write[] => {
      const outcome = random.integer(0, 2);
      if (outcome === 0) return [];
      if (outcome === 1) return [write];
      return [{ ...write, bytes: write.bytes.subarray(0, random.integer(0, write.bytes.length)) }];
    });
    return kept.reduce(withWrite, this.durable);
  }
}

function withWrite(content: Buffer, { bytes, offset }: Write): Buffer {
  const result = Buffer.alloc(Math.max(content.length, offset + bytes.length));
  content.copy(result);
  bytes.copy(result, offset);
  return result;
}

/** Power failed at this operation, or earlier. */
export class PowerLostError extends Error {}

export class SimulatedFolder implements StoreFolder {
  readonly path = 'simulated';
  private files = new Map<string, SimulatedFile>();
  /** Removed files whose removal is not durable yet. */
  private removed = new Map<string, SimulatedFile>();
  /** Names of the operations, in order. */
  readonly operations: string[] = [];
  /** Number of the operation at which power fails, starting at 1. */
  powerLossAt = Number.POSITIVE_INFINITY;
  /** Bytes that may still be written. */
  freeBytes = Number.POSITIVE_INFINITY;
  private hasPower = true;

  /** Returns the folder as it is after a power failure. */
  afterPowerLoss(random: SeededRandom): SimulatedFolder {
    const folder = new SimulatedFolder();
    const mayStay = [...this.removed].filter(() => random.chance(0.5));
    for (const [name, file] of [...mayStay, ...this.files]) {
      if (!file.isNameDurable && random.chance(0.5)) continue;
      const copy = new SimulatedFile();
      copy.durable = file.afterPowerLoss(random);
      copy.isNameDurable = true;
      folder.files.set(name, copy);
    }
    return folder;
  }

  /** Returns the folder after a power failure that dropped all unsynced writes. */
  withSyncedOnly(): SimulatedFolder {
    const folder = new SimulatedFolder();
    for (const [name, file] of this.files) {
      if (!file.isNameDurable) continue;
      const copy = new SimulatedFile();
      copy.durable = file.durable;
      copy.isNameDurable = true;
      folder.files.set(name, copy);
    }
    return folder;
  }

  /** Flips a bit of a file, like a bad sector. */
  damage(name: string, offset: number): void {
    const file = this.files.get(name)!;
    file.sync();
    file.durable[offset]! ^= 1;
  }

  contentOf(name: string): Buffer {
    return this.files.get(name)!.content;
  }

  get names(): string[] {
    return [...this.files.keys()].sort();
  }

  async list(): Promise<string[]> {
    await this.step('list');
    return this.names;
  }

  async create(name: string): Promise<StoreFile> {
    await this.step('create');
    this.files.set(name, new SimulatedFile());
    return this.handle(name);
  }

  async open(name: string): Promise<StoreFile> {
    await this.step('open');
    return this.handle(name);
  }

  async replace(name: string, bytes: Uint8Array): Promise<void> {
    await this.step('replace');
    const file = new SimulatedFile();
    file.unsynced.push({ bytes: Buffer.from(bytes), offset: 0 });
    file.sync();
    this.files.set(name, file);
  }

  async remove(name: string): Promise<void> {
    await this.step('remove');
    const file = this.files.get(name);
    if (!file) return;
    this.files.delete(name);
    this.removed.set(name, file);
  }

  async sync(): Promise<void> {
    await this.step('sync folder');
    this.removed.clear();
    for (const file of this.files.values()) file.isNameDurable = true;
  }

  private async step(operation: string): Promise<void> {
    await sleep(0);
    if (!this.hasPower) throw new PowerLostError(operation);
    this.operations.push(operation);
    if (this.operations.length < this.powerLossAt) return;
    this.hasPower = false;
    throw new PowerLostError(operation);
  }

  private handle(name: string): StoreFile {
    const file = this.files.get(name)!;
    let isOpen = true;
    const step = async (operation: string): Promise<void> => {
      if (!isOpen) throw new Error('EBADF: file is closed');
      await this.step(operation);
    };
    return {
      read: async (buffer, start, length, offset) => {
        await step('read');
        const part = file.content.subarray(offset, offset + length);
        buffer.set(part, start);
        return { bytesRead: part.length };
      },
      write: async (bytes, start, length, offset) => {
        const bytesWritten = Math.min(length, this.freeBytes);
        if (bytesWritten === 0) throw Object.assign(new Error('no space'), { code: 'ENOSPC' });
        this.freeBytes -= bytesWritten;
        const written = Buffer.from(bytes.subarray(start, start + bytesWritten));
        // Recorded before the step, since power may fail during the write.
        file.unsynced.push({ bytes: written, offset });
        await step('write');
        return { bytesWritten };
      },
      truncate: async () => step('truncate'),
      datasync: async () => {
        await step('datasync');
        file.sync();
      },
      close: async () => {
        isOpen = false;
      },
      size: async () => {
        await step('size');
        return file.content.length;
      },
    };
  }
}
