/**
 * An in-memory disk on which processes can be killed, and power can fail, at any operation.
 *
 * After a kill all writes remain, since they are in the page cache. After a power failure synced changes remain;
 * every other change is kept, dropped or torn, as POSIX permits. Each process accesses the disk below its own
 * root path, so that later operations of a killed process are detected.
 */
import { SeededRandom, sleep } from '../../src/common/index.js';
import { type DiskNode, FileNode, FolderNode, type PowerLoss } from './simulated-disk-nodes.js';

export const SIMULATED_ROOT = '/simulated-disk';

/** Whether the sync of a file, or only that of its folder, makes the name of a new file durable. */
export type NameDurability = 'file-sync' | 'folder-sync-only';

export interface SimulatedDiskOptions {
  seed: number;
  /**
   * With `file-sync`, as on common file systems, the sync of a new file also makes its name and those of its
   * parent folders durable. @default 'file-sync'
   */
  nameDurability?: NameDurability;
  /** Maximum duration of a sync, drawn for each one, in milliseconds. @default 0 */
  maxSyncMs?: number;
}

/** The process of the operation was killed, or its machine lost power. */
export class ProcessKilledError extends Error {}

/** Number of discarded draws, since similar seeds start with similar values. */
const SKIPPED_DRAWS = 32;

/** Creates a generator whose values are uncorrelated even for consecutive seeds. */
export function createDecorrelatedRandom(seed: number): SeededRandom {
  const random = new SeededRandom(seed);
  for (let count = 0; count < SKIPPED_DRAWS; count += 1) random.uniform();
  return random;
}

const DROP_ALL_PROBABILITY = 0.4;
const disks = new Map<string, SimulatedDisk>();

export class SimulatedDisk {
  private root = createEmptyRoot();
  private process = 0;
  private isProcessAlive = false;
  private readonly random: SeededRandom;
  private onKilled: () => void = () => undefined;
  /** Descriptions of the operations of the running process, in order. */
  operations: string[] = [];
  /** Number of the operation at which the process is killed, starting at 1; a write is done partially. */
  killAt = Number.POSITIVE_INFINITY;
  /** Description of an operation before which the process is killed. */
  killBefore: string | undefined;
  /** Description of an operation before which `killBefore` has no effect. */
  private awaitedOperation: string | undefined;

  /** @param name name of the machine; replaces an earlier disk of the same name */
  constructor(
    readonly name: string,
    private readonly options: SimulatedDiskOptions,
  ) {
    this.random = createDecorrelatedRandom(options.seed);
    disks.set(name, this);
  }

  /**
   * Starts a process.
   * @param onKilled called when it is killed or loses power
   * @returns its root path
   */
  startProcess(onKilled: () => void = () => undefined): string {
    this.kill();
    this.process += 1;
    this.isProcessAlive = true;
    this.operations = [];
    this.killAt = Number.POSITIVE_INFINITY;
    this.killBefore = undefined;
    this.awaitedOperation = undefined;
    this.onKilled = onKilled;
    return `${SIMULATED_ROOT}/${this.name}/process-${this.process}`;
  }

  get isAlive(): boolean {
    return this.isProcessAlive;
  }

  /** Kills the process before an operation, once another operation has been started. */
  killBeforeFollowing(awaited: string, operation: string): void {
    this.awaitedOperation = awaited;
    this.killBefore = operation;
  }

  /** Kills the running process; its writes remain. */
  kill(): void {
    if (!this.isProcessAlive) return;
    this.isProcessAlive = false;
    this.onKilled();
  }

  /**
   * Kills the running process, and keeps, drops or tears unsynced changes.
   * @param loss @default drawn at random
   */
  losePower(loss?: PowerLoss): void {
    this.kill();
    const drawn = this.random.chance(DROP_ALL_PROBABILITY) ? 'drops-all' : 'draws-each';
    this.root.losePower(this.random, loss ?? drawn);
  }

  /** Kills the running process and replaces the content by an empty file system. */
  replaceWithEmpty(): void {
    this.kill();
    this.root = createEmptyRoot();
  }

  /** Paths of all files and folders below a folder. */
  list(folder: DiskNode | undefined = this.root, path = ''): string[] {
    if (!(folder instanceof FolderNode)) return [];
    return folder.names.flatMap((name) => [
      `${path}/${name}`,
      ...this.list(folder.find(name), `${path}/${name}`),
    ]);
  }

  /** @returns undefined if there is no such file or folder */
  find(segments: readonly string[]): DiskNode | undefined {
    let node: DiskNode | undefined = this.root;
    for (const name of segments) {
      if (!(node instanceof FolderNode)) return undefined;
      node = node.find(name);
    }
    return node;
  }

  /**
   * Starts an operation of a process, which the caller completes synchronously.
   * @param onKill called if the process is killed at this operation
   * @throws ProcessKilledError if the process was killed, or is killed at this operation
   */
  async step(process: number, operation: string, onKill?: () => void): Promise<void> {
    await new Promise((resolve) => setImmediate(resolve));
    const { maxSyncMs = 0 } = this.options;
    if (maxSyncMs > 0 && operation.startsWith('sync')) {
      await sleep(this.random.integer(0, maxSyncMs));
    }
    if (!this.isProcessAlive || process !== this.process) throw new ProcessKilledError(operation);
    this.operations.push(operation);
    const isDue = operation === this.killBefore && this.awaitedOperation === undefined;
    if (operation === this.awaitedOperation) this.awaitedOperation = undefined;
    if (!isDue && this.operations.length < this.killAt) return;
    if (!isDue) onKill?.();
    this.kill();
    throw new ProcessKilledError(operation);
  }

  /** Writes a random prefix, as a process that is killed during a write. */
  writePart(file: FileNode, offset: number, bytes: Uint8Array): void {
    const length = this.random.integer(0, bytes.length);
    if (length > 0) file.write(offset, bytes.subarray(0, length));
  }

  syncFile(file: FileNode): void {
    file.sync();
    if (this.options.nameDurability !== 'folder-sync-only') file.folder.syncNameOf(file);
  }
}

/** Root of a new file system, which contains `lost+found`. */
function createEmptyRoot(): FolderNode {
  const root = new FolderNode(undefined);
  root.add('lost+found', new FolderNode(root));
  root.sync();
  return root;
}

/** A parsed path on a simulated disk. */
export interface SimulatedPath {
  disk: SimulatedDisk;
  process: number;
  /** Path components, starting at the root of the disk. */
  segments: string[];
}

/** @returns undefined for a path of the real file system */
export function parseSimulatedPath(path: string): SimulatedPath | undefined {
  if (!path.startsWith(`${SIMULATED_ROOT}/`)) return undefined;
  const [name = '', process = '', ...segments] = path.slice(SIMULATED_ROOT.length + 1).split('/');
  const disk = disks.get(name);
  if (!disk) throw new Error(`no simulated disk ${name}`);
  return { disk, process: Number(process.replace('process-', '')), segments };
}
