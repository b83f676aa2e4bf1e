/** Result of a call as reported to its caller. */
import type { EngineUsage } from '../backends/index.js';
import type { RefusalReason } from '../journal/index.js';

export type CallResult =
  /** The call completed, and its answer is recorded. */
  | {
      kind: 'completed';
      answer: string;
      finishReason: string;
      /** Charged to the budget, in tokens. */
      cost: number;
      /** Absent when the answer was read from the journal. */
      usage?: EngineUsage;
    }
  /** The call is settled without knowing whether it ran. */
  | { kind: 'unknown'; detail: string }
  /** The call did not run, and no duplicate of this submission will run. */
  | {
      kind: 'not-run';
      reason: RefusalReason;
      canSendAgain: boolean;
      nextSubmission: number;
      retryAfterMs?: number;
    }
  /** A different request is recorded under this sequence number. */
  | { kind: 'conflict' }
  | { kind: 'unknown-program' }
  /** The journal was unreachable; the caller can query the outcome later. */
  | { kind: 'journal-unavailable'; retryAfterMs: number }
  /** The gateway stopped while the call was under way; another gateway can go on with it. */
  | { kind: 'interrupted' };
