/** Timing and sizes of replicated groups. */
export interface ConsensusOptions {
  /** Time between a leader's heartbeats, in milliseconds. @default 75 */
  heartbeatIntervalMs?: number;
  /** Shortest time without a leader before an election, in milliseconds. @default 450 */
  electionTimeoutMs?: number;
  /**
   * Shortest time without a leader before a restarted member's first election, in milliseconds.
   * @default electionTimeoutMs
   */
  startupElectionTimeoutMs?: number;
  /**
   * Shortest time from the end of the leader's connection to an election, in milliseconds; long
   * enough for a leader that lives to connect again and send a heartbeat. @default 150
   */
  disconnectTimeoutMs?: number;
  /** Entries applied between two snapshots. @default 4000 */
  snapshotEveryEntries?: number;
  /** Bytes of commands applied between two snapshots, if that comes first. @default no limit */
  snapshotEveryBytes?: number;
  /** Entries kept behind a snapshot for members that lag a little. @default 1000 */
  trailingEntries?: number;
  /** Bytes of those entries, if that comes first. @default no limit */
  trailingBytes?: number;
  /**
   * A leader takes no commands while the entries in its memory have this many bytes: snapshots let
   * them go, unless the disk or the quorum is away. @default no limit
   */
  maxHeldBytes?: number;
  /**
   * How long a command may wait for its place in the log of a leader that has more than the group
   * commits soon, before it is refused, in milliseconds. @default 1000
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
