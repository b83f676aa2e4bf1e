/** The state that a replicated group replicates. */
import type { LogEntry, StoredSnapshot } from '../log-store/index.js';
import type { Member } from './configuration.js';

export interface StateMachine {
  /**
   * Applies one committed command. Must be deterministic: the result may depend only on the state
   * and the command. Must not need room that may be lacking: whoever accepts a command takes the room, since only
   * further commands may free it.
   */
  apply(command: Uint8Array, index: number): unknown;

  /**
   * The complete state at the time of the call, in pieces. Pieces may be encoded lazily to save
   * memory, but must not reflect later commands.
   */
  snapshot(): Iterable<Uint8Array>;

  /** Replaces the state by the concatenated pieces of a snapshot. */
  restore(state: Uint8Array): void;

  /** Set if the state refers to data that is not part of its snapshots. */
  readonly external?: ExternalState;
}

/** Data on the local disk that the state refers to and that is not part of snapshots. */
export interface ExternalState {
  /**
   * Makes all data durable that the state refers to at the time of the call.
   * @throws StorageFullError if the disk is full
   */
  sync(): Promise<void>;

  /**
   * Adds the data that received entries refer to, so that both are written to the log in one
   * record. An acknowledged or recovered entry therefore never refers to data that this member
   * lacks.
   * @param sources members that may hold missing data, in order of preference
   * @param getsCopies whether other members may be sending the data to this one
   * @throws if no member could provide the data
   */
  attach(
    entries: readonly LogEntry[],
    sources: readonly Member[],
    getsCopies: boolean,
  ): Promise<readonly LogEntry[]>;

  /**
   * Called when entries are in the local log. Their data is needed until they are applied.
   * Recovered entries include it as attachments.
   */
  noteLogged(entries: readonly LogEntry[]): void;

  /**
   * Fetches the data that a snapshot refers to and this member lacks. Data fetched before a failure
   * is kept for the next attempt.
   * @throws if no member could provide the data
   */
  fetchMissing(snapshot: StoredSnapshot, sources: readonly Member[]): Promise<void>;

  /** Absent if the data that a snapshot refers to is never deleted. */
  readonly deletions?: ExternalDeletions;
}

/**
 * Deletion of external data that the state no longer refers to, but a snapshot does. A member that
 * restarts from this snapshot must be able to tell the deleted data from lost data.
 */
export interface ExternalDeletions {
  /** Whether there is data to delete. */
  readonly isPending: boolean;

  /**
   * Deletes the data that became unneeded when entries up to `index` were applied. Called once it
   * is durable that these entries are committed, so that a restart applies them again.
   */
  deleteUpTo(index: number): void;

  /**
   * Highest commit index of the members that reported data as unneeded, which this member therefore
   * does not store; 0 if there was no such report.
   */
  readonly reportedCommitIndex: number;
}
