/** The task that applies committed entries to the state machine, and makes and installs snapshots. */
import { SignalEvent } from '../common/index.js';
import { type SnapshotSource, StorageFullError, type StoredSnapshot } from '../log-store/index.js';
import { encodeConfiguration } from './configuration.js';
import type { GroupEnvironment, ReplicatedGroup } from './replicated-group.js';
import type { StateMachine } from './state-machine.js';

/** Entries applied in one go before other tasks get their turn. */
const APPLY_BATCH = 256;

export class Applier {
  appliedIndex: number;
  private snapshotIndex: number;
  private readonly wake = new SignalEvent();
  private readonly applied = new SignalEvent();
  private isStopped = false;
  private isSnapshotting = false;

  constructor(
    private readonly group: ReplicatedGroup,
    private readonly stateMachine: StateMachine,
    private readonly environment: GroupEnvironment,
  ) {
    const snapshot = group.log.latestSnapshot;
    if (snapshot) stateMachine.restore(snapshot.state);
    this.appliedIndex = snapshot?.index ?? 0;
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

  /** Replaces the state by a snapshot from the leader. */
  async install(snapshot: StoredSnapshot): Promise<void> {
    await this.group.log.storeSnapshot(snapshot);
    if (snapshot.index <= this.appliedIndex) return;
    // From here to the new applied index nothing may come between: the log has a gap meanwhile.
    const written = this.group.log.adoptSnapshot(snapshot);
    this.stateMachine.restore(snapshot.state);
    this.appliedIndex = snapshot.index;
    this.snapshotIndex = snapshot.index;
    this.group.advanceCommit(snapshot.index);
    this.applied.notify();
    await written;
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
      this.group.onApplied(entry, result);
    }
  }

  private makeSnapshotIfDue(): void {
    const { snapshotEveryEntries, trailingEntries } = this.environment.options;
    const due = this.appliedIndex - this.snapshotIndex >= snapshotEveryEntries;
    if (due && !this.isSnapshotting) this.makeSnapshot(this.appliedIndex - trailingEntries);
  }

  private makeSnapshot(compactIndex: number): void {
    this.isSnapshotting = true;
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
    void log
      .saveSnapshot(snapshot, compactTo)
      .catch((error) => this.onSnapshotFailed(error))
      .finally(() => {
        this.isSnapshotting = false;
      });
  }

  /** Without room the log is kept as it is, and the next snapshot is due as ever. */
  private onSnapshotFailed(error: unknown): void {
    if (error instanceof StorageFullError) this.environment.onSnapshotSkipped(this.group, error);
    else this.environment.onFatal(error);
  }
}
