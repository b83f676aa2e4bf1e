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
  /** Entries kept behind a snapshot for members that lag a little. @default 1000 */
  trailingEntries?: number;
}

const DEFAULT_ELECTION_TIMEOUT_MS = 450;
const DEFAULT_DISCONNECT_TIMEOUT_MS = 150;

export type CheckedConsensusOptions = Required<ConsensusOptions>;

export function checkConsensusOptions(options: ConsensusOptions): CheckedConsensusOptions {
  return {
    heartbeatIntervalMs: options.heartbeatIntervalMs ?? 75,
    electionTimeoutMs: options.electionTimeoutMs ?? DEFAULT_ELECTION_TIMEOUT_MS,
    startupElectionTimeoutMs:
      options.startupElectionTimeoutMs ?? options.electionTimeoutMs ?? DEFAULT_ELECTION_TIMEOUT_MS,
    disconnectTimeoutMs: options.disconnectTimeoutMs ?? DEFAULT_DISCONNECT_TIMEOUT_MS,
    snapshotEveryEntries: options.snapshotEveryEntries ?? 4_000,
    trailingEntries: options.trailingEntries ?? 1_000,
  };
}
