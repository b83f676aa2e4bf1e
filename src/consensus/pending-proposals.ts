/** Appended commands of a leader whose proposers wait for the result. */
import { Deferred } from '../common/index.js';
import type { LogEntry } from '../log-store/index.js';
import { CommitUnknownError } from './errors.js';

interface PendingProposal {
  term: number;
  deferred: Deferred<unknown>;
}

export class PendingProposals {
  private readonly byIndex = new Map<number, PendingProposal>();

  constructor(private readonly group: string) {}

  /**
   * Resolves with the entry's result once it is committed and applied.
   * @throws CommitUnknownError if leadership ends first; the entry may be committed
   */
  add(entry: LogEntry): Promise<unknown> {
    const deferred = new Deferred<unknown>();
    this.byIndex.set(entry.index, { term: entry.term, deferred });
    return deferred.promise;
  }

  /**
   * Completes the proposal at the applied entry's index. The entry may come from another leader.
   */
  settle(entry: LogEntry, result: unknown): void {
    const proposal = this.byIndex.get(entry.index);
    if (!proposal) return;
    this.byIndex.delete(entry.index);
    if (proposal.term === entry.term) proposal.deferred.resolve(result);
    else proposal.deferred.reject(new CommitUnknownError(this.group));
  }

  /** Rejects all proposals when leadership ends, since their outcome is unknown. */
  abandonAll(): void {
    for (const { deferred } of this.byIndex.values()) {
      deferred.reject(new CommitUnknownError(this.group));
    }
    this.byIndex.clear();
  }
}
