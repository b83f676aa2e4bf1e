/** How a call ends for its caller. */
import type { EngineUsage } from '../backends/index.js';
import type { RefusalReason } from '../journal/index.js';

export type CallResult =
  /** The recorded, complete answer. */
  | {
      kind: 'completed';
      answer: string;
      finishReason: string;
      /** Charged to the budget, in tokens. */
      cost: number;
      /** Absent when the answer is read from the record. */
      usage?: EngineUsage;
    }
  /** Settled, but nobody can tell whether it ran. */
  | { kind: 'unknown'; detail: string }
  /** It did not run, and no copy of this submission ever will. */
  | {
      kind: 'not-run';
      reason: RefusalReason;
      canSendAgain: boolean;
      nextSubmission: number;
      retryAfterMs?: number;
    }
  /** Another request is recorded under this sequence number. */
  | { kind: 'conflict' }
  | { kind: 'unknown-program' }
  /** The journal could not be reached; the call's fate will be known there. */
  | { kind: 'journal-unavailable'; retryAfterMs: number };
