/** The task that applies committed entries to the state machine, and makes and installs snapshots. */
import { SignalEvent } from '../common/index.js';
import {
  type LogEntry,
  type SnapshotMark,
  type SnapshotSource,
  StorageFullError,
  type StoredSnapshot,
} from '../log-store/index.js';
import {
  type GroupConfiguration,
  type Member,
  decodeConfiguration,
  encodeConfiguration,
  isVoter,
  sourcesOf,
} from './configuration.js';
import type { GroupEnvironment, ReplicatedGroup } from './replicated-group.js';
import type { StateMachine } from './state-machine.js';

/** Pause before a snapshot that the disk had no room for is tried again, in milliseconds. */
const SNAPSHOT_RETRY_MS = 1_000;

/** What a snapshot of this member covers, in log indices. */
export interface StoredSnapshotMarks {
  index: number;
  /** The log holds no entry up to this one any more. */
  compactedTo: number;
}

/** What had been applied since the snapshot before. */
interface SnapshotCounters {
  snapshotIndex: number;
  bytesSinceSnapshot: number;
}

/** Entries applied in one go before other tasks get their turn. */
const APPLY_BATCH = 256;

export class Applier {
  appliedIndex: number;
  private snapshotIndex: number;
  /** Bytes of the commands applied since the latest snapshot. */
  private bytesSinceSnapshot = 0;
  private readonly wake = new SignalEvent();
  private readonly applied = new SignalEvent();
  private isStopped = false;
  private isSnapshotting = false;
  /** The latest installation; a leader that hears nothing in time sends the same snapshot again. */
  private installing: Promise<void> = Promise.resolve();

  constructor(
    private readonly group: ReplicatedGroup,
    private readonly stateMachine: StateMachine,
    private readonly environment: GroupEnvironment,
  ) {
    const snapshot = group.log.latestSnapshot;
    if (snapshot) stateMachine.restore(snapshot.state);
    this.appliedIndex = snapshot?.index ?? 0;
    stateMachine.external?.noteLogged(group.log.takeAttached(this.appliedIndex));
    this.snapshotIndex = this.appliedIndex;
    void this.run().catch((error) => environment.onFatal(error));
  }

  /** Tells the task that more is committed. */
  notify(): void {
    this.wake.notify();
  }

  async waitApplied(index: number): Promise<void> {
    while (this.appliedIndex < index && !this.isStopped) await this.applied.wait();
  }

  stop(): void {
    this.isStopped = true;
    this.wake.notify();
    this.applied.notify();
  }

  /**
   * Replaces the state by a snapshot from the leader, one after the other.
   * @param members of the group today, who are asked for what the snapshot names
   * @throws when data that the snapshot names can't be fetched or stored now; nothing changed then
   */
  install(snapshot: StoredSnapshot, members: GroupConfiguration): Promise<void> {
    const installed = this.installing.then(() => this.installNext(snapshot, members));
    this.installing = installed.catch(() => undefined);
    return installed;
  }

  private async installNext(snapshot: StoredSnapshot, members: GroupConfiguration): Promise<void> {
    if (snapshot.index <= this.appliedIndex) return;
    await this.fetchExternal(snapshot, members);
    await this.group.log.storeSnapshot(snapshot);
    if (snapshot.index <= this.appliedIndex) return;
    // From here to the new applied index nothing may come between: the log has a gap meanwhile.
    const written = this.group.log.adoptSnapshot(snapshot);
    this.stateMachine.restore(snapshot.state);
    this.appliedIndex = snapshot.index;
    this.snapshotIndex = snapshot.index;
    this.bytesSinceSnapshot = 0;
    this.group.advanceCommit(snapshot.index);
    this.applied.notify();
    await written;
  }

  private async fetchExternal(
    snapshot: StoredSnapshot,
    members: GroupConfiguration,
  ): Promise<void> {
    const { external } = this.stateMachine;
    if (!external) return;
    await external.fetchMissing(snapshot, this.sourcesIn(members));
    await external.sync();
  }

  /**
   * Attaches to received entries what they name.
   * @throws when that can't be had now; the entries must not go to the log then
   */
  async attachTo(entries: readonly LogEntry[]): Promise<readonly LogEntry[]> {
    const { external } = this.stateMachine;
    if (!external || entries.length === 0) return entries;
    const configuration = this.knownConfiguration(entries);
    const getsCopies = isVoter(configuration, this.environment.ownId);
    return external.attach(entries, this.sourcesIn(configuration), getsCopies);
  }

  private sourcesIn(configuration: GroupConfiguration): Member[] {
    return sourcesOf(configuration, this.environment.ownId, this.group.leaderId);
  }

  noteLogged(entries: readonly LogEntry[]): void {
    this.stateMachine.external?.noteLogged(entries);
  }

  /** A member that holds nothing yet learns its group from the first entries. */
  private knownConfiguration(entries: readonly LogEntry[]): GroupConfiguration {
    const { configuration } = this.group;
    if (configuration.members.length > 0) return configuration;
    const latest = entries.findLast(({ kind }) => kind === 'configuration');
    return latest ? decodeConfiguration(latest.data) : configuration;
  }

  /** Makes a snapshot soon that lets the whole log before it go. */
  requestSnapshot(): void {
    if (this.isSnapshotting || this.appliedIndex <= this.group.log.compactedTo.index) return;
    this.makeSnapshot(this.appliedIndex);
  }

  private async run(): Promise<void> {
    while (!this.isStopped) {
      if (this.appliedIndex >= this.group.commitIndex) {
        await this.wake.wait();
        continue;
      }
      const { external } = this.stateMachine;
      if (external) await external.waitForRoom();
      this.applyBatch();
      this.applied.notify();
      this.makeSnapshotIfDue();
      await new Promise((resolve) => setImmediate(resolve));
    }
  }

  private applyBatch(): void {
    const end = Math.min(this.group.commitIndex, this.appliedIndex + APPLY_BATCH);
    while (this.appliedIndex < end) {
      const entry = this.group.log.entryAt(this.appliedIndex + 1);
      if (!entry) throw new Error(`${this.group.name}: entry ${this.appliedIndex + 1} is missing`);
      const isCommand = entry.kind === 'command';
      const result = isCommand ? this.stateMachine.apply(entry.data, entry.index) : undefined;
      this.appliedIndex = entry.index;
      this.bytesSinceSnapshot += bytesOnDisk(entry);
      this.group.onApplied(entry, result);
    }
  }

  private makeSnapshotIfDue(): void {
    if (this.isSnapshotting) return;
    const { snapshotEveryEntries, snapshotEveryBytes } = this.environment.options;
    const isDue =
      this.appliedIndex - this.snapshotIndex >= snapshotEveryEntries ||
      this.bytesSinceSnapshot >= snapshotEveryBytes;
    if (isDue) this.makeSnapshot(this.compactionIndex());
  }

  /** The last entry that need not be kept for members that lag a little. */
  private compactionIndex(): number {
    const { trailingEntries, trailingBytes } = this.environment.options;
    const { log } = this.group;
    const lowest = Math.max(log.compactedTo.index, this.appliedIndex - trailingEntries);
    let bytes = 0;
    for (let index = this.appliedIndex; index > lowest; index -= 1) {
      bytes += bytesOnDisk(log.entryAt(index));
      if (bytes > trailingBytes) return index;
    }
    return lowest;
  }

  private makeSnapshot(compactIndex: number): void {
    this.isSnapshotting = true;
    const { snapshotIndex, bytesSinceSnapshot } = this;
    const { log } = this.group;
    const index = this.appliedIndex;
    const snapshot: SnapshotSource = {
      index,
      term: log.termAt(index) ?? 0,
      configuration: encodeConfiguration(log.configurationAt(index)),
      pieces: this.stateMachine.snapshot(),
    };
    const compactedTo = Math.max(log.compactedTo.index, compactIndex);
    const compactTo = { index: compactedTo, term: log.termAt(compactedTo) ?? 0 };
    this.snapshotIndex = index;
    this.bytesSinceSnapshot = 0;
    void this.saveSnapshot(snapshot, compactTo).then(
      () => this.onSnapshotSaved({ index, compactedTo }),
      (error) => this.onSnapshotFailed(error, { snapshotIndex, bytesSinceSnapshot }),
    );
  }

  private onSnapshotSaved(marks: StoredSnapshotMarks): void {
    this.environment.onSnapshotStored(this.group, marks);
    this.finishSnapshot();
  }

  /** What was applied meanwhile may be enough for the next one, and nothing more may be coming. */
  private finishSnapshot(): void {
    this.isSnapshotting = false;
    if (!this.isStopped) this.makeSnapshotIfDue();
  }

  /** What the snapshot names is made durable first: the entries that brought it go with it. */
  private async saveSnapshot(snapshot: SnapshotSource, compactTo: SnapshotMark): Promise<void> {
    await this.stateMachine.external?.sync();
    await this.group.log.saveSnapshot(snapshot, compactTo);
  }

  /** Without room the log is kept as it is, and the snapshot stays due. */
  private onSnapshotFailed(error: unknown, previous: SnapshotCounters): void {
    // Stores are closed after their group: the log holds all that the snapshot would have held.
    if (this.isStopped) return;
    if (!(error instanceof StorageFullError)) {
      this.environment.onFatal(error);
      return;
    }
    this.environment.onSnapshotSkipped(this.group, error);
    this.snapshotIndex = previous.snapshotIndex;
    this.bytesSinceSnapshot += previous.bytesSinceSnapshot;
    setTimeout(() => this.finishSnapshot(), SNAPSHOT_RETRY_MS).unref();
  }
}

function bytesOnDisk(entry: LogEntry | undefined): number {
  return entry ? entry.data.length + (entry.attachedBytes ?? 0) : 0;
}
