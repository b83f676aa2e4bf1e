/** Files and folders of a simulated disk, with their visible and their durable content. */
import type { SeededRandom } from '../../src/common/index.js';

/** Outcome of an unsynced change after a power failure. */
type UnsyncedOutcome = 'dropped' | 'kept' | 'torn';

/** Whether a power failure drops all unsynced changes or draws an outcome for each. */
export type PowerLoss = 'drops-all' | 'draws-each';

interface FileWrite {
  kind: 'write';
  offset: number;
  bytes: Buffer;
}

interface FileTruncation {
  kind: 'truncate';
  length: number;
}

type FileChange = FileWrite | FileTruncation;

const UNSYNCED_OUTCOMES: readonly UnsyncedOutcome[] = ['dropped', 'kept', 'torn'];

/** Content of a file, in a buffer that grows geometrically. */
class FileContent {
  private buffer = Buffer.alloc(0);
  private length = 0;

  get bytes(): Buffer {
    return this.buffer.subarray(0, this.length);
  }

  apply(change: FileChange): void {
    if (change.kind === 'truncate') this.setLength(change.length);
    else this.write(change);
  }

  private write({ offset, bytes }: FileWrite): void {
    if (offset + bytes.length > this.length) this.setLength(offset + bytes.length);
    bytes.copy(this.buffer, offset);
  }

  private setLength(length: number): void {
    if (length > this.buffer.length) {
      const larger = Buffer.alloc(2 * length);
      this.bytes.copy(larger);
      this.buffer = larger;
    }
    this.buffer.fill(0, Math.min(length, this.length), Math.max(length, this.length));
    this.length = length;
  }
}

export class FileNode {
  private current = new FileContent();
  private readonly durable = new FileContent();
  private unsynced: FileChange[] = [];

  /** @param folder folder in which it was created */
  constructor(readonly folder: FolderNode) {}

  get bytes(): Buffer {
    return this.current.bytes;
  }

  write(offset: number, bytes: Uint8Array): void {
    this.change({ kind: 'write', offset, bytes: Buffer.from(bytes) });
  }

  truncate(length: number): void {
    this.change({ kind: 'truncate', length });
  }

  sync(): void {
    for (const change of this.unsynced) this.durable.apply(change);
    this.unsynced = [];
  }

  losePower(random: SeededRandom, loss: PowerLoss): void {
    const changes = this.unsynced;
    this.unsynced = [];
    if (loss === 'draws-each') {
      for (const change of changes) this.applyOutcome(change, random);
    }
    this.current = new FileContent();
    this.current.apply({ kind: 'write', offset: 0, bytes: this.durable.bytes });
  }

  private change(change: FileChange): void {
    this.current.apply(change);
    this.unsynced.push(change);
  }

  private applyOutcome(change: FileChange, random: SeededRandom): void {
    const outcome = random.pick(UNSYNCED_OUTCOMES);
    if (outcome === 'dropped') return;
    if (outcome === 'kept' || change.kind === 'truncate') this.durable.apply(change);
    else this.durable.apply(tornWrite(change, random));
  }
}

/** Draws the part of a write that reached the disk. */
function tornWrite({ offset, bytes }: FileWrite, random: SeededRandom): FileWrite {
  const start = random.chance(0.5) ? 0 : random.integer(0, bytes.length);
  const end = random.integer(start, bytes.length);
  return { kind: 'write', offset: offset + start, bytes: bytes.subarray(start, end) };
}

export type DiskNode = FileNode | FolderNode;

interface NameCreation {
  kind: 'make';
  name: string;
  node: DiskNode;
}

interface NameRemoval {
  kind: 'remove';
  name: string;
  node: DiskNode;
}

interface NodeRename {
  kind: 'rename';
  from: string;
  to: string;
  node: DiskNode;
}

type NameChange = NameCreation | NameRemoval | NodeRename;

export class FolderNode {
  private entries = new Map<string, DiskNode>();
  private readonly durable = new Map<string, DiskNode>();
  private unsynced: NameChange[] = [];

  /** @param parent undefined for the root, whose name is always durable */
  constructor(readonly parent: FolderNode | undefined) {}

  get names(): string[] {
    return [...this.entries.keys()].sort();
  }

  get nodes(): DiskNode[] {
    return [...this.entries.values()];
  }

  find(name: string): DiskNode | undefined {
    return this.entries.get(name);
  }

  add(name: string, node: DiskNode): void {
    this.change({ kind: 'make', name, node });
  }

  remove(name: string): void {
    const node = this.entries.get(name);
    if (node) this.change({ kind: 'remove', name, node });
  }

  rename(from: string, to: string): void {
    const node = this.entries.get(from);
    if (node) this.change({ kind: 'rename', from, to, node });
  }

  sync(): void {
    for (const change of this.unsynced) applyNameChange(this.durable, change);
    this.unsynced = [];
  }

  /** Makes the name with which a node was created durable, and those of its parent folders. */
  syncNameOf(node: DiskNode): void {
    const made = this.unsynced.find((change) => change.kind === 'make' && change.node === node);
    if (made) {
      applyNameChange(this.durable, made);
      this.unsynced = this.unsynced.filter((change) => change !== made);
    }
    this.parent?.syncNameOf(this);
  }

  losePower(random: SeededRandom, loss: PowerLoss): void {
    const changes = this.unsynced;
    this.unsynced = [];
    if (loss === 'draws-each') {
      const kept = changes.filter(() => random.chance(0.5));
      for (const change of kept) applyNameChange(this.durable, change);
    }
    this.entries = new Map(this.durable);
    for (const node of this.nodes) node.losePower(random, loss);
  }

  private change(change: NameChange): void {
    applyNameChange(this.entries, change);
    this.unsynced.push(change);
  }
}

/** Applies a change to its own node only: the name may refer to another node by now. */
function applyNameChange(names: Map<string, DiskNode>, change: NameChange): void {
  if (change.kind === 'make') {
    names.set(change.name, change.node);
    return;
  }
  const former = change.kind === 'rename' ? change.from : change.name;
  if (names.get(former) === change.node) names.delete(former);
  if (change.kind === 'rename') names.set(change.to, change.node);
}
