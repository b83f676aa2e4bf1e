/** Timings of one reservation and the step at which it failed, for the log line of its call. */
import type { HeardLeader } from '../consensus/index.js';

/** Steps of a reservation, in order. */
export type ReservationStep = 'find-leader' | 'enter-window' | 'commit' | 'read-history';

/** Time spent in each part of a reservation, in milliseconds. */
export interface ReservationTimings {
  /** Waiting for the reservation window of this gateway. */
  windowMs: number;
  /** Requests to the ledger's leader, including network time. */
  leaderMs: number;
  /** Reading the history from followers, and waiting for an unreachable member that may hold it. */
  historyMs: number;
}

export class ReservationTrace {
  readonly times: ReservationTimings = { windowMs: 0, leaderMs: 0, historyMs: 0 };
  /** Requests sent to the ledger. */
  requestCount = 0;
  /** The leader that this gateway knew of before the reservation. */
  knownLeader: HeardLeader | undefined;
  /** Address of the leader that responded. */
  leader: string | undefined;
  /** Address of the member that returned the history. */
  historyFrom: string | undefined;
  /** The step that failed last, if any. */
  failedStep: ReservationStep | undefined;
}
