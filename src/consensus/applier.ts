/** Applies committed entries to the state machine, and creates and installs snapshots. */
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
import { ExternalDataCleaner } from './external-data-cleaner.js';
import type { GroupEnvironment } from './group-environment.js';
import type { ReplicatedGroup } from './replicated-group.js';
import type { StateMachine } from './state-machine.js';

/** Delay before a snapshot that failed on a full disk is retried. */
const SNAPSHOT_RETRY_MS = 1_000;

/** Log positions of a stored snapshot. */
export interface StoredSnapshotMarks {
  index: number;
  /** Index of the last entry that has been removed from the log. */
  compactedTo: number;
}

/** Snapshot counters to restore when a snapshot fails. */
interface SnapshotCounters {
  snapshotIndex: number;
  bytesSinceSnapshot: number;
}

/** Maximum number of entries applied before control returns to the event loop. */
const APPLY_BATCH = 256;

export class Applier {
  appliedIndex: number;
  private snapshotIndex: number;
  /** Bytes of entries applied since the latest snapshot. */
  private bytesSinceSnapshot = 0;
  private readonly wake = new SignalEvent();
  private readonly applied = new SignalEvent();
  /** Whether the group has stopped, after which nothing is applied or deleted. */
  isStopped = false;
  private isSnapshotting = false;
  private readonly cleaner: ExternalDataCleaner;
  /** Serializes installations: a leader resends the snapshot if the response is late. */
  private installing: Promise<void> = Promise.resolve();

  constructor(
    private readonly group: ReplicatedGroup,
    private readonly stateMachine: StateMachine,
    private readonly environment: GroupEnvironment,
  ) {
    this.cleaner = new ExternalDataCleaner(
      this,
      group,
      stateMachine.external?.deletions,
      environment,
    );
    const snapshot = group.log.latestSnapshot;
    if (snapshot) stateMachine.restore(snapshot.state);
    this.appliedIndex = snapshot?.index ?? 0;
    stateMachine.external?.noteLogged(group.log.takeAttached(this.appliedIndex));
    this.snapshotIndex = this.appliedIndex;
    void this.run().catch((error) => environment.onFatal(error));
  }

  /** Called when the commit index has advanced. */
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
   * Replaces the state by a snapshot received from the leader. Calls run one after the other.
   * @param members current members of the group, from which external data is fetched
   * @throws if external data cannot be fetched or stored; the state is unchanged then
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
    // No await until appliedIndex is updated: the log has a gap in between.
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
    await this.cleaner.makeReportedCommitDurable();
  }

  /**
   * Adds the external data that received entries refer to.
   * @throws if the data is unavailable; the entries must not be appended to the log then
   */
  async attachTo(entries: readonly LogEntry[]): Promise<readonly LogEntry[]> {
    const { external } = this.stateMachine;
    if (!external || entries.length === 0) return entries;
    const configuration = this.knownConfiguration(entries);
    const getsCopies = isVoter(configuration, this.environment.ownId);
    const attached = await external.attach(entries, this.sourcesIn(configuration), getsCopies);
    await this.cleaner.saveReportedCommit();
    return attached;
  }

  private sourcesIn(configuration: GroupConfiguration): Member[] {
    return sourcesOf(configuration, this.environment.ownId, this.group.leaderId);
  }

  noteLogged(entries: readonly LogEntry[]): void {
    this.stateMachine.external?.noteLogged(entries);
  }

  /** A member with an empty log learns the group's members from the first entries. */
  private knownConfiguration(entries: readonly LogEntry[]): GroupConfiguration {
    const { configuration } = this.group;
    if (configuration.members.length > 0) return configuration;
    const latest = entries.findLast(({ kind }) => kind === 'configuration');
    return latest ? decodeConfiguration(latest.data) : configuration;
  }

  /** Requests a snapshot that allows the log to be compacted up to the applied index. */
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
      this.applyBatch();
      this.applied.notify();
      this.makeSnapshotIfDue();
      this.cleaner.deleteUnneeded();
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

  /** Index up to which the log may be compacted, keeping entries for slightly lagging members. */
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

  /** Entries applied while the last snapshot was written may already require the next one. */
  private finishSnapshot(): void {
    this.isSnapshotting = false;
    if (!this.isStopped) this.makeSnapshotIfDue();
  }

  /** Syncs external data first, because compaction removes the entries that carried it. */
  private async saveSnapshot(snapshot: SnapshotSource, compactTo: SnapshotMark): Promise<void> {
    await this.stateMachine.external?.sync();
    await this.group.log.saveSnapshot(snapshot, compactTo);
  }

  /** On a full disk the log is kept and the snapshot is retried later. */
  private onSnapshotFailed(error: unknown, previous: SnapshotCounters): void {
    // Storage is closed after the group stops. The log still holds everything, so the error is
    // ignored.
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
