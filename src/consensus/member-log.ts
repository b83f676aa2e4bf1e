/**
 * One member's copy of a group's log: entries, votes, configurations and the latest snapshot, kept
 * in the shared write-ahead log and the snapshot store.
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
  /** The latest write of entries; the log is written in order, so those before it are synced too. */
  private entriesWritten: Promise<void> = Promise.resolve();

  private constructor(
    readonly group: string,
    private readonly wal: WriteAheadLog,
    private readonly snapshots: SnapshotStore,
    /** The snapshot that a restarted state machine begins from. */
    readonly latestSnapshot: StoredSnapshot | undefined,
  ) {
    this.state = wal.group(group);
    this.rebuildConfigurations(latestSnapshot);
  }

  /** @throws DamagedLogError when the log was compacted but its snapshot is gone, or the other way round */
  static async open(
    group: string,
    wal: WriteAheadLog,
    snapshots: SnapshotStore,
  ): Promise<MemberLog> {
    const snapshot = await snapshots.read(group);
    const compactedTo = wal.group(group).snapshot.index;
    if (compactedTo > (snapshot?.index ?? 0)) {
      throw new DamagedLogError(`snapshot behind index ${compactedTo} is missing`, {
        step: 'consensus.open',
        peer: group,
      });
    }
    const log = new MemberLog(group, wal, snapshots, snapshot);
    if (snapshot) await log.alignWithSnapshot(snapshot);
    return log;
  }

  /** @throws DamagedLogError when the log is gone: its term and vote were durable before any snapshot */
  private async alignWithSnapshot(snapshot: StoredSnapshot): Promise<void> {
    if (this.containsSnapshot(snapshot)) return;
    if (this.hardState.term === 0) {
      throw new DamagedLogError('the log is gone but its snapshot is not', {
        step: 'consensus.open',
        peer: this.group,
      });
    }
    await this.adoptSnapshot(snapshot);
  }

  /**
   * Whether the log reaches a snapshot: it does not where the process before was killed between storing its
   * leader's snapshot and letting the log go.
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

  /** Bytes of the entries that are held in memory. */
  get heldBytes(): number {
    return this.state.heldBytes;
  }

  /** The latest configuration in the log, committed or not. */
  get configuration(): GroupConfiguration {
    return this.configurations.at(-1)?.configuration ?? EMPTY_CONFIGURATION;
  }

  /** Index of the entry that holds the latest configuration. */
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

  /** Writes the first entry of a new group; every founding member writes the same. */
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

  saveHardState(state: HardState): Promise<void> {
    return this.wal.append([{ kind: 'hard-state', group: this.group, state }]);
  }

  /**
   * Appends entries, cutting off what conflicts with them; resolves when they are synced.
   * @throws StorageFullError (synchronously) when there is no room; nothing changed then
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
   * Hands over what a start found attached to entries behind an index; it is held no longer.
   * @returns copies of the entries
   */
  takeAttached(afterIndex: number): LogEntry[] {
    const held = this.state.entries;
    const found = held.filter(({ index }) => index > afterIndex).map((entry) => ({ ...entry }));
    held.forEach(dropAttachments);
    return found;
  }

  /** Resolves when every entry that is held is synced, also those of earlier calls of `append`. */
  waitEntriesDurable(): Promise<void> {
    return this.entriesWritten;
  }

  /** Makes a snapshot durable, then drops the entries up to `compactTo`. */
  async saveSnapshot(snapshot: SnapshotSource, compactTo: SnapshotMark): Promise<void> {
    await this.snapshots.write(this.group, snapshot);
    await this.wal.append([{ kind: 'snapshot', group: this.group, mark: compactTo }]);
  }

  /** Makes a snapshot from the leader durable, before the log gives way to it. */
  storeSnapshot({ state, ...head }: StoredSnapshot): Promise<void> {
    return this.snapshots.write(this.group, { ...head, pieces: [state] });
  }

  /** Lets a stored snapshot take the place of the log up to its index. */
  adoptSnapshot(snapshot: StoredSnapshot): Promise<void> {
    const mark: SnapshotMark = { index: snapshot.index, term: snapshot.term };
    const written = this.wal.append([{ kind: 'snapshot', group: this.group, mark }]);
    this.rebuildConfigurations(snapshot);
    return written;
  }

  /** Begins to read the stored snapshot piece by piece; the caller closes the reader. */
  openSnapshot(): Promise<SnapshotReader | undefined> {
    return this.snapshots.open(this.group);
  }

  /** The configuration in force at `index`. */
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

/** What is on disk with an entry is held elsewhere in memory, if at all. */
function dropAttachments(entry: LogEntry): void {
  if (!entry.attachments) return;
  entry.attachedBytes = entry.attachments.reduce((sum, { length }) => sum + length, 0);
  entry.attachments = undefined;
}

/**
 * Entries stay in memory for long, but come as views of buffers that hold much else: the encoder's,
 * of which a leader fills many with messages to its followers, or a received frame.
 */
function withCopiedData(entry: LogEntry): LogEntry {
  return { ...entry, data: new Uint8Array(entry.data) };
}
