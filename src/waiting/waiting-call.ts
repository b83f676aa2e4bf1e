/** A call that waits for a permit, as the queue orders it. */
export interface WaitingCall {
  service: string;
  /** 0 is the most urgent. */
  priority: number;
  /** Empty for anonymous callers. */
  tenant: string;
  /** Whether the call belongs to a program that has already had a turn. */
  hasBegun: boolean;
  /** Deadline of the final response (monotonic, milliseconds). */
  deadlineMs: number;
  /**
   * Deadline of the program (monotonic, milliseconds): its remaining time when the call was queued, as a point in time.
   * Undefined if the program has none; the deadline of the call is used then.
   */
  programDeadlineMs?: number;
  /** Whether the deadline of the program had passed when the call was queued. */
  isProgramLate?: boolean;
  /** Memory held by the call, in bytes. */
  bytes: number;
}

/** Waiting calls of one service. */
export interface WaitingCount {
  service: string;
  calls: number;
}
