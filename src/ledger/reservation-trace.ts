/** The steps of one reservation: which took the time, and at which one it failed, for the log line of its call. */
import type { HeardLeader } from '../consensus/index.js';

/** In their order; each needs those before it. */
export type ReservationStep = 'find-leader' | 'enter-window' | 'commit' | 'read-history';

/** Where the time of a reservation went, in milliseconds. */
export interface ReservationTimings {
  /** In this gateway, until there was room for one more question. */
  windowMs: number;
  /** At the ledger's leader, the way there and back included. */
  leaderMs: number;
  /** Reading the history at another member, and waiting for one that may hold it. */
  historyMs: number;
}

export class ReservationTrace {
  readonly times: ReservationTimings = { windowMs: 0, leaderMs: 0, historyMs: 0 };
  /** Questions that were put to the ledger. */
  requestCount = 0;
  /** What this gateway knew of the leader before it asked. */
  knownLeader: HeardLeader | undefined;
  /** Who answered as the leader. */
  leader: string | undefined;
  /** The member that gave the history. */
  historyFrom: string | undefined;
  /** The step that failed last. */
  failedStep: ReservationStep | undefined;
}
