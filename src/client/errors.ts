import { LedgegaugeError } from '../common/index.js';
import type { Problem } from '../http/index.js';

/** The call ended with a final result other than completion. */
export class CallFailedError extends LedgegaugeError {
  constructor(
    readonly problem: Problem,
    step: string,
  ) {
    super(`${problem.code}: ${problem.detail}`, { step, retriable: problem.sendAgain });
  }
}

/** No gateway returned a final result before the caller's timeout; the outcome is open. */
export class CallPendingError extends LedgegaugeError {}
