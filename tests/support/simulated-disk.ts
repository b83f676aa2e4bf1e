/**
 * A disk in memory whose processes can be killed and whose power can be lost at any operation.
 *
 * A killed process leaves all that it wrote, as the machine's memory holds it. A loss of power leaves what
 * was synced; every other change is kept, dropped or torn, as POSIX allows at its worst. Each process sees the
 * disk below a root path of its own, so that what a dead one still tries is told apart.
 */
import { SeededRandom, sleep } from '../../src/common/index.js';
import { type DiskNode, FileNode, FolderNode, type PowerLoss } from './simulated-disk-nodes.js';

export const SIMULATED_ROOT = '/simulated-disk';

/** What makes the name of a new file last beside the sync of its folder. */
export type NameDurability = 'file-sync' | 'folder-sync-only';

export interface SimulatedDiskOptions {
  seed: number;
  /**
   * With `file-sync`, as the usual file systems have it, the sync of a new file keeps its name as well, with the
   * names of the folders above it. @default 'file-sync'
   */
  nameDurability?: NameDurability;
  /** Longest time that a sync takes, in milliseconds; drawn for each. @default 0 */
  maxSyncMs?: number;
}

/** The process of this operation was killed, or its machine has lost power. */
export class ProcessKilledError extends Error {}

/** Draws before the first that counts: seeds that differ little begin with much the same. */
const SKIPPED_DRAWS = 32;

/** A generator whose draws differ from the first on, also for seeds that follow one another. */
export function createDecorrelatedRandom(seed: number): SeededRandom {
  const random = new SeededRandom(seed);
  for (let count = 0; count < SKIPPED_DRAWS; count += 1) random.uniform();
  return random;
}

const KEEPS_NOTHING_SHARE = 0.4;
const disks = new Map<string, SimulatedDisk>();

export class SimulatedDisk {
  private root = emptyRoot();
  private process = 0;
  private isProcessAlive = false;
  private readonly random: SeededRandom;
  private onKilled: () => void = () => undefined;
  /** Operations of the running process so far, by name, in order. */
  operations: string[] = [];
  /** The running process is killed at this operation, counted from 1; of a write it does a drawn part. */
  killAt = Number.POSITIVE_INFINITY;
  /** Or at the first operation of this description, before it does anything. */
  killBefore: string | undefined;

  /** @param name of the machine; an earlier disk of the name is forgotten */
  constructor(
    readonly name: string,
    private readonly options: SimulatedDiskOptions,
  ) {
    this.random = createDecorrelatedRandom(options.seed);
    disks.set(name, this);
  }

  /**
   * Starts a process.
   * @param onKilled called in the moment in which it is killed, or its machine loses power
   * @returns its root path
   */
  startProcess(onKilled: () => void = () => undefined): string {
    this.kill();
    this.process += 1;
    this.isProcessAlive = true;
    this.operations = [];
    this.killAt = Number.POSITIVE_INFINITY;
    this.killBefore = undefined;
    this.onKilled = onKilled;
    return `${SIMULATED_ROOT}/${this.name}/process-${this.process}`;
  }

  get isAlive(): boolean {
    return this.isProcessAlive;
  }

  /** Ends the running process; what it wrote stays in the machine's memory. */
  kill(): void {
    if (!this.isProcessAlive) return;
    this.isProcessAlive = false;
    this.onKilled();
  }

  /**
   * Ends the running process, and drops or tears what was not synced.
   * @param loss drawn when not given
   */
  losePower(loss?: PowerLoss): void {
    this.kill();
    const drawn = this.random.chance(KEEPS_NOTHING_SHARE) ? 'drops-all' : 'draws-each';
    this.root.losePower(this.random, loss ?? drawn);
  }

  /** Ends the running process; another disk without any content takes the place of this one. */
  replaceWithEmpty(): void {
    this.kill();
    this.root = emptyRoot();
  }

  /** Names of the files and folders below a path, each with the path in front. */
  list(folder: DiskNode | undefined = this.root, path = ''): string[] {
    if (!(folder instanceof FolderNode)) return [];
    return folder.names.flatMap((name) => [
      `${path}/${name}`,
      ...this.list(folder.find(name), `${path}/${name}`),
    ]);
  }

  /** @returns undefined when there is no such file or folder */
  find(segments: readonly string[]): DiskNode | undefined {
    let node: DiskNode | undefined = this.root;
    for (const name of segments) {
      if (!(node instanceof FolderNode)) return undefined;
      node = node.find(name);
    }
    return node;
  }

  /**
   * Begins an operation of a process; what follows it synchronously belongs to it.
   * @param atDeath what a process still does that dies at this operation
   * @throws ProcessKilledError when the process is dead, or dies at this operation
   */
  async step(process: number, operation: string, atDeath?: () => void): Promise<void> {
    await new Promise((resolve) => setImmediate(resolve));
    const { maxSyncMs = 0 } = this.options;
    if (maxSyncMs > 0 && operation.startsWith('sync')) {
      await sleep(this.random.integer(0, maxSyncMs));
    }
    if (!this.isProcessAlive || process !== this.process) throw new ProcessKilledError(operation);
    this.operations.push(operation);
    const isDue = operation === this.killBefore;
    if (!isDue && this.operations.length < this.killAt) return;
    if (!isDue) atDeath?.();
    this.kill();
    throw new ProcessKilledError(operation);
  }

  /** A killed process may have written the first part of what it was writing. */
  writePart(file: FileNode, offset: number, bytes: Uint8Array): void {
    const length = this.random.integer(0, bytes.length);
    if (length > 0) file.write(offset, bytes.subarray(0, length));
  }

  syncFile(file: FileNode): void {
    file.sync();
    if (this.options.nameDurability !== 'folder-sync-only') file.folder.syncNameOf(file);
  }
}

/** The top of a new file system, which holds a folder of its own. */
function emptyRoot(): FolderNode {
  const root = new FolderNode(undefined);
  root.add('lost+found', new FolderNode(root));
  root.sync();
  return root;
}

/** Where a path of a simulated disk leads. */
export interface SimulatedPath {
  disk: SimulatedDisk;
  process: number;
  /** Names on the way from the disk's root. */
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
