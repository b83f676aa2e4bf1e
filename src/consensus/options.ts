/** Timing and size options of replicated groups. */
export interface ConsensusOptions {
  /** Interval between a leader's heartbeats, in milliseconds. @default 75 */
  heartbeatIntervalMs?: number;
  /** Minimum time without a leader before an election, in milliseconds. @default 450 */
  electionTimeoutMs?: number;
  /**
   * Minimum time without a leader before the first election after a start, in milliseconds.
   * @default electionTimeoutMs
   */
  startupElectionTimeoutMs?: number;
  /**
   * Minimum time between the loss of the leader's connection and an election, in milliseconds.
   * Allows a running leader to reconnect and send a heartbeat. @default 150
   */
  disconnectTimeoutMs?: number;
  /** Applied entries between two snapshots. @default 4000 */
  snapshotEveryEntries?: number;
  /** Bytes of applied commands between two snapshots, if reached first. @default no limit */
  snapshotEveryBytes?: number;
  /** Entries before a snapshot that are kept for slightly lagging members. @default 1000 */
  trailingEntries?: number;
  /** Maximum bytes of those entries. @default no limit */
  trailingBytes?: number;
  /**
   * Limit for the bytes of uncompacted entries in memory, above which a leader rejects commands.
   * Snapshots release entries unless the disk or the quorum is unavailable. @default no limit
   */
  maxHeldBytes?: number;
  /**
   * Maximum time that a command may wait to be appended on an overloaded leader before it is
   * rejected, in milliseconds. @default 1000
   */
  maxProposalWaitMs?: number;
}

const DEFAULT_ELECTION_TIMEOUT_MS = 450;
const DEFAULT_DISCONNECT_TIMEOUT_MS = 150;
const DEFAULT_MAX_PROPOSAL_WAIT_MS = 1_000;

export type CheckedConsensusOptions = Required<ConsensusOptions>;

export function checkConsensusOptions(options: ConsensusOptions): CheckedConsensusOptions {
  return {
    heartbeatIntervalMs: options.heartbeatIntervalMs ?? 75,
    electionTimeoutMs: options.electionTimeoutMs ?? DEFAULT_ELECTION_TIMEOUT_MS,
    startupElectionTimeoutMs:
      options.startupElectionTimeoutMs ?? options.electionTimeoutMs ?? DEFAULT_ELECTION_TIMEOUT_MS,
    disconnectTimeoutMs: options.disconnectTimeoutMs ?? DEFAULT_DISCONNECT_TIMEOUT_MS,
    snapshotEveryEntries: options.snapshotEveryEntries ?? 4_000,
    snapshotEveryBytes: options.snapshotEveryBytes ?? Number.POSITIVE_INFINITY,
    trailingEntries: options.trailingEntries ?? 1_000,
    trailingBytes: options.trailingBytes ?? Number.POSITIVE_INFINITY,
    maxHeldBytes: options.maxHeldBytes ?? Number.POSITIVE_INFINITY,
    maxProposalWaitMs: options.maxProposalWaitMs ?? DEFAULT_MAX_PROPOSAL_WAIT_MS,
  };
}
