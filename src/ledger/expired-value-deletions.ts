/** Deletion of the values of expired turns that a snapshot may refer to, in step with the durable commit index. */
import type { ExternalDeletions } from '../consensus/index.js';
import type { KeptTurnIndex } from './kept-turn-index.js';

export class ExpiredValueDeletions implements ExternalDeletions {
  reportedCommitIndex = 0;

  constructor(private readonly turns: KeptTurnIndex) {}

  get isPending(): boolean {
    return this.turns.expired.heldCount > 0;
  }

  deleteUpTo(index: number): void {
    this.turns.deleteExpired(index);
  }

  /** Records the commit index of a member that reported expired turns. */
  noteReport(commitIndex: number): void {
    this.reportedCommitIndex = Math.max(this.reportedCommitIndex, commitIndex);
  }
}
