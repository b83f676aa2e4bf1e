/**
 * Deletes external data that the state no longer needs. A restarted member goes back to its latest
 * snapshot, which may refer to deleted data. So the commit index is durable before a deletion, and
 * before data is not stored that other members report as unneeded: the member then applies the
 * entries that made the data unneeded as soon as it leads, and tells other members.
 */
import { StorageFullError } from '../log-store/index.js';
import type { Applier } from './applier.js';
import type { GroupEnvironment } from './group-environment.js';
import type { ReplicatedGroup } from './replicated-group.js';
import type { ExternalDeletions } from './state-machine.js';

export class ExternalDataCleaner {
  private isRunning = false;

  /** @param deletions undefined if the state machine deletes no external data */
  constructor(
    private readonly applier: Pick<Applier, 'appliedIndex' | 'isStopped'>,
    private readonly group: ReplicatedGroup,
    private readonly deletions: ExternalDeletions | undefined,
    private readonly environment: GroupEnvironment,
  ) {}

  /** Starts to delete unneeded data, unless a deletion is running, which takes it as well. */
  deleteUnneeded(): void {
    const { deletions } = this;
    if (!deletions?.isPending || this.isRunning) return;
    this.isRunning = true;
    void this.deleteWhilePending(deletions).catch((error: unknown) => this.onFailed(error));
  }

  /**
   * Writes the commit index that other members sent with reports of unneeded data, unless it has
   * been passed to the log. Entries that are appended later are durable only after it.
   */
  async saveReportedCommit(): Promise<void> {
    const { log } = this.group;
    const index = this.deletions?.reportedCommitIndex ?? 0;
    if (index > log.savedCommitIndex) await log.saveCommitIndex(index);
  }

  /** Resolves when this commit index is durable, for what is stored outside of the log. */
  async makeReportedCommitDurable(): Promise<void> {
    if (this.deletions) await this.group.log.saveCommitIndex(this.deletions.reportedCommitIndex);
  }

  private async deleteWhilePending(deletions: ExternalDeletions): Promise<void> {
    try {
      while (deletions.isPending && !this.applier.isStopped) {
        const index = this.applier.appliedIndex;
        await this.group.log.saveCommitIndex(index);
        if (!this.applier.isStopped) deletions.deleteUpTo(index);
      }
    } finally {
      // Before any other task runs: data that it finds unneeded would have to wait for the next entry.
      this.isRunning = false;
    }
  }

  /** On a full disk the data is kept until further entries are applied. */
  private onFailed(error: unknown): void {
    // The log is closed after the group stops. A restart applies the same entries again.
    if (this.applier.isStopped) return;
    if (error instanceof StorageFullError) this.environment.onDeletionSkipped(this.group, error);
    else this.environment.onFatal(error);
  }
}
