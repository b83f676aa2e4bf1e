import { LedgegaugeError } from '../common/index.js';
import type { Problem } from '../http/index.js';

/** The system gave a final answer other than a completed call. */
export class CallFailedError extends LedgegaugeError {
  constructor(
    readonly problem: Problem,
    step: string,
  ) {
    super(`${problem.code}: ${problem.detail}`, { step, retriable: problem.sendAgain });
  }
}

/** No gateway gave a final answer within the patience of the caller: the outcome is open. */
export class CallPendingError extends LedgegaugeError {}
