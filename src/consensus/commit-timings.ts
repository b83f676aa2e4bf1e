/** Durations of the phases of a command on one member, for the load log. */
import { DurationSummary } from '../observability/index.js';

export interface CommitTimings {
  /** Leader: from arrival of a command until it is appended to the log. */
  gate: DurationSummary;
  /** Leader: from the append until the local sync. */
  ownSync: DurationSummary;
  /** Leader: from the append until the command is committed and applied. */
  commit: DurationSummary;
  /** Follower: from receipt of an append request until the response. */
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
