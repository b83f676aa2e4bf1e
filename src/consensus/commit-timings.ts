/** Where the time of a command goes at a member, part by part, for its log. */
import { DurationSummary } from '../observability/index.js';

export interface CommitTimings {
  /** A leader's commands: from their arrival to the log. */
  gate: DurationSummary;
  /** From the log to the leader's own sync. */
  ownSync: DurationSummary;
  /** From the log to the end of applying, which needs a majority's syncs. */
  commit: DurationSummary;
  /** A follower's appends: from a received batch to its answer. */
  append: DurationSummary;
}

export function createCommitTimings(): CommitTimings {
  return {
    gate: new DurationSummary(),
    ownSync: new DurationSummary(),
    commit: new DurationSummary(),
    append: new DurationSummary(),
  };
}
