/** Bytes sent to other members by purpose, for metrics. */
export interface ReplicationTraffic {
  /** Entries sent to voters for the first time. */
  voterEntries: number;
  /** Entries sent to learners for the first time. */
  learnerEntries: number;
  /** Entries resent because a response was missing. */
  repeatedEntries: number;
  snapshots: number;
}

export function createReplicationTraffic(): ReplicationTraffic {
  return { voterEntries: 0, learnerEntries: 0, repeatedEntries: 0, snapshots: 0 };
}
