/** Bytes of data that a member sent to others as their leader, by purpose, for metrics. */
export interface ReplicationTraffic {
  /** Entries that members which count for commits had not been sent before. */
  voterEntries: number;
  /** Entries that learners had not been sent before. */
  learnerEntries: number;
  /** Entries that were sent again, since no answer had come in time. */
  repeatedEntries: number;
  snapshots: number;
}

export function createReplicationTraffic(): ReplicationTraffic {
  return { voterEntries: 0, learnerEntries: 0, repeatedEntries: 0, snapshots: 0 };
}
