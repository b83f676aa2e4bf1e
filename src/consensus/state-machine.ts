/** What a replicated group replicates. */
import type { LogEntry, StoredSnapshot } from '../log-store/index.js';
import type { Member } from './configuration.js';

export interface StateMachine {
  /**
   * Applies one committed command. Must depend on the state and the command only, so that every
   * replica comes to the same state and result.
   */
  apply(command: Uint8Array, index: number): unknown;

  /**
   * The whole state as it is at the call, in pieces. They may be encoded when they are asked for, so
   * that a large state is not held twice, but must not show what is applied in between.
   */
  snapshot(): Iterable<Uint8Array>;

  /** Replaces the state by an encoded one: all pieces of a snapshot behind one another. */
  restore(state: Uint8Array): void;

  /** Set where the state names data that its snapshots do not contain. */
  readonly external?: ExternalState;
}

/** Data on this member's own disk that the state names and snapshots do not contain. */
export interface ExternalState {
  /** Resolves once there is room in memory for what more commands bring. */
  waitForRoom(): Promise<void>;

  /**
   * Makes everything durable that the state names at the call.
   * @throws StorageFullError when the disk has no room for it now
   */
  sync(): Promise<void>;

  /**
   * Attaches to received entries what they name, so that it goes to the log in one record with them: an entry
   * that is acknowledged, or found in the log at a start, names nothing that this member lacks.
   * @param sources members that may hold what is missing here, in the order in which they are asked
   * @param getsCopies whether others may be sending here what entries name
   * @throws when something is missing that no member gave
   */
  attach(
    entries: readonly LogEntry[],
    sources: readonly Member[],
    getsCopies: boolean,
  ): Promise<readonly LogEntry[]>;

  /**
   * Entries stand in this member's log; what they name is wanted until they are applied. At a start they
   * bring it along.
   */
  noteLogged(entries: readonly LogEntry[]): void;

  /**
   * Fetches from other members what a snapshot names and this member does not hold. What was fetched
   * stays when it fails, so that the next try goes on from there.
   * @throws when something is missing that no member gave
   */
  fetchMissing(snapshot: StoredSnapshot, sources: readonly Member[]): Promise<void>;
}
