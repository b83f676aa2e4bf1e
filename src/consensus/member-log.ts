/**
 * The log of one group on this member: entries, votes, configurations and the latest snapshot,
 * stored in the shared write-ahead log and the snapshot store.
 */
import {
  DamagedLogError,
  type GroupLogState,
  type HardState,
  type LogEntry,
  type LogRecord,
  type SnapshotMark,
  type SnapshotReader,
  type SnapshotSource,
  type SnapshotStore,
  type StoredSnapshot,
  type WriteAheadLog,
} from '../log-store/index.js';
import {
  EMPTY_CONFIGURATION,
  type GroupConfiguration,
  decodeConfiguration,
  encodeConfiguration,
} from './configuration.js';

interface ConfigurationAt {
  index: number;
  configuration: GroupConfiguration;
}

const BOOTSTRAP_TERM = 1;
const NO_DATA = new Uint8Array(0);

export class MemberLog {
  private readonly state: GroupLogState;
  private configurations: ConfigurationAt[] = [];
  /**
   * The latest write of entries. Writes complete in order, so earlier entries are synced as well.
   */
  private entriesWritten: Promise<void> = Promise.resolve();
  /** The latest write of the commit index. */
  private commitIndexWritten: Promise<void> = Promise.resolve();

  private constructor(
    readonly group: string,
    private readonly wal: WriteAheadLog,
    private readonly snapshots: SnapshotStore,
    /** The snapshot from which the state machine is restored at startup. */
    readonly latestSnapshot: StoredSnapshot | undefined,
  ) {
    this.state = wal.group(group);
    this.rebuildConfigurations(latestSnapshot);
  }

  /**
   * @throws DamagedLogError if the log or the snapshot is missing although the other one requires
   *   it
   */
  static async open(
    group: string,
    wal: WriteAheadLog,
    snapshots: SnapshotStore,
  ): Promise<MemberLog> {
    const snapshot = await snapshots.read(group);
    const compactedTo = wal.group(group).snapshot.index;
    if (compactedTo > (snapshot?.index ?? 0)) {
      throw new DamagedLogError(`snapshot up to index ${compactedTo} is missing`, {
        step: 'consensus.open',
        peer: group,
      });
    }
    const log = new MemberLog(group, wal, snapshots, snapshot);
    if (snapshot) await log.alignWithSnapshot(snapshot);
    return log;
  }

  /**
   * @throws DamagedLogError if the log is empty; term and vote are always durable before a snapshot
   */
  private async alignWithSnapshot(snapshot: StoredSnapshot): Promise<void> {
    if (this.containsSnapshot(snapshot)) return;
    if (this.hardState.term === 0) {
      throw new DamagedLogError('the log is missing, but its snapshot exists', {
        step: 'consensus.open',
        peer: this.group,
      });
    }
    await this.adoptSnapshot(snapshot);
  }

  /**
   * Whether the log contains the snapshot's last entry. It does not if the process was killed
   * between storing the leader's snapshot and replacing the log.
   */
  private containsSnapshot({ index, term }: SnapshotMark): boolean {
    return this.state.termAt(index) === term;
  }

  get hardState(): HardState {
    return this.state.hardState;
  }

  get lastIndex(): number {
    return this.state.lastIndex;
  }

  get lastTerm(): number {
    return this.state.lastTerm;
  }

  get compactedTo(): SnapshotMark {
    return this.state.snapshot;
  }

  /** Bytes of the entries held in memory. */
  get heldBytes(): number {
    return this.state.heldBytes;
  }

  /** Bytes of the entries that all groups of the process hold in memory. */
  get processHeldBytes(): number {
    return this.wal.heldBytes;
  }

  /** The latest configuration in the log, committed or not. */
  get configuration(): GroupConfiguration {
    return this.configurations.at(-1)?.configuration ?? EMPTY_CONFIGURATION;
  }

  /** Index of the entry with the latest configuration. */
  get configurationIndex(): number {
    return this.configurations.at(-1)?.index ?? 0;
  }

  termAt(index: number): number | undefined {
    return this.state.termAt(index);
  }

  entryAt(index: number): LogEntry | undefined {
    return this.state.entryAt(index);
  }

  slice(fromIndex: number, maximumBytes: number): LogEntry[] {
    return this.state.slice(fromIndex, maximumBytes);
  }

  /** Writes the first entry of a new group. All founding members write the same entry. */
  async bootstrap(configuration: GroupConfiguration): Promise<void> {
    const data = encodeConfiguration(configuration);
    const entry: LogEntry = { index: 1, term: BOOTSTRAP_TERM, kind: 'configuration', data };
    const state: HardState = { term: BOOTSTRAP_TERM, votedFor: undefined };
    const records: LogRecord[] = [
      { kind: 'hard-state', group: this.group, state },
      { kind: 'entries', group: this.group, entries: [entry] },
    ];
    const written = this.wal.append(records);
    this.noteConfigurations([entry]);
    await written;
  }

  /** Writes term and vote, and keeps the commit index. Resolves when synced. */
  saveHardState({ term, votedFor }: HardState): Promise<void> {
    return this.writeHardState({ term, votedFor, commitIndex: this.hardState.commitIndex });
  }

  /** Index up to which entries are known to be committed after a restart. */
  get savedCommitIndex(): number {
    return this.hardState.commitIndex ?? 0;
  }

  /**
   * Writes that entries up to an index are committed, unless a later index has been written.
   * Resolves when it is synced, after all entries that were appended before.
   * @throws StorageFullError (synchronously) if there is no space
   */
  saveCommitIndex(commitIndex: number): Promise<void> {
    if (commitIndex > this.savedCommitIndex)
      this.commitIndexWritten = this.writeHardState({ ...this.hardState, commitIndex });
    return this.commitIndexWritten;
  }

  private writeHardState(state: HardState): Promise<void> {
    return this.wal.append([{ kind: 'hard-state', group: this.group, state }]);
  }

  /**
   * Appends entries after removing conflicting ones. Resolves when they are synced.
   * @throws StorageFullError (synchronously) if there is no space; nothing has changed then
   */
  append(received: LogEntry[]): Promise<void> {
    const entries = received.map(withCopiedData);
    const first = entries[0];
    if (!first) return Promise.resolve();
    const records: LogRecord[] = [{ kind: 'entries', group: this.group, entries }];
    const conflicts = first.index <= this.lastIndex;
    if (conflicts) {
      records.unshift({ kind: 'truncate', group: this.group, fromIndex: first.index });
    }
    const written = this.wal.append(records);
    entries.forEach(dropAttachments);
    this.entriesWritten = written;
    if (conflicts) this.removeConfigurationsFrom(first.index);
    this.noteConfigurations(entries);
    return written;
  }

  /**
   * Returns the recovered entries after an index with their attachments, and releases all
   * attachments.
   * @returns copies of the entries
   */
  takeAttached(afterIndex: number): LogEntry[] {
    const held = this.state.entries;
    const found = held.filter(({ index }) => index > afterIndex).map((entry) => ({ ...entry }));
    held.forEach(dropAttachments);
    return found;
  }

  /** Resolves when all appended entries are synced, including those of earlier calls. */
  waitEntriesDurable(): Promise<void> {
    return this.entriesWritten;
  }

  /** Stores a snapshot durably, then removes the entries up to `compactTo`. */
  async saveSnapshot(snapshot: SnapshotSource, compactTo: SnapshotMark): Promise<void> {
    await this.snapshots.write(this.group, snapshot);
    await this.wal.append([{ kind: 'snapshot', group: this.group, mark: compactTo }]);
  }

  /** Stores a snapshot from the leader durably, before it replaces the log. */
  storeSnapshot({ state, ...head }: StoredSnapshot): Promise<void> {
    return this.snapshots.write(this.group, { ...head, pieces: [state] });
  }

  /** Replaces the log up to the snapshot's index by the stored snapshot. */
  adoptSnapshot(snapshot: StoredSnapshot): Promise<void> {
    const mark: SnapshotMark = { index: snapshot.index, term: snapshot.term };
    const written = this.wal.append([{ kind: 'snapshot', group: this.group, mark }]);
    this.rebuildConfigurations(snapshot);
    return written;
  }

  /** Opens the stored snapshot for reading in chunks. The caller must close the reader. */
  openSnapshot(): Promise<SnapshotReader | undefined> {
    return this.snapshots.open(this.group);
  }

  /** The configuration in effect at `index`. */
  configurationAt(index: number): GroupConfiguration {
    const known = this.configurations.filter((entry) => entry.index <= index);
    return known.at(-1)?.configuration ?? EMPTY_CONFIGURATION;
  }

  emptyEntry(index: number, term: number): LogEntry {
    return { index, term, kind: 'empty', data: NO_DATA };
  }

  private rebuildConfigurations(snapshot: StoredSnapshot | undefined): void {
    this.configurations = [];
    if (snapshot) {
      const configuration = decodeConfiguration(snapshot.configuration);
      this.configurations.push({ index: snapshot.index, configuration });
    }
    const covered = snapshot?.index ?? 0;
    this.noteConfigurations(this.state.entries.filter((entry) => entry.index > covered));
  }

  private noteConfigurations(entries: LogEntry[]): void {
    for (const entry of entries) {
      if (entry.kind !== 'configuration') continue;
      const configuration = decodeConfiguration(entry.data);
      this.configurations.push({ index: entry.index, configuration });
    }
  }

  private removeConfigurationsFrom(index: number): void {
    this.configurations = this.configurations.filter((entry) => entry.index < index);
  }
}

/** Attachments are written to disk with the entry and not kept in memory here. */
function dropAttachments(entry: LogEntry): void {
  if (!entry.attachments) return;
  entry.attachedBytes = entry.attachments.reduce((sum, { length }) => sum + length, 0);
  entry.attachments = undefined;
}

/**
 * Copies the data: decoded entries are views of large shared buffers, which they would keep alive. A copy
 * has a buffer of its own: one shared with frames would keep those alive.
 */
function withCopiedData(entry: LogEntry): LogEntry {
  return { ...entry, data: new Uint8Array(entry.data) };
}
