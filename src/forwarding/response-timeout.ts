/** How long a send waits for the head of its response before the call is sent again. */
import type { Route } from '../routes/index.js';

/** Response timeout of a repeatable call, as a multiple of its route's objective. */
const RESPONSE_TIMEOUT_OBJECTIVES = 3;
/** Maximum response timeout, as a fraction of the remaining time. */
const RESPONSE_TIMEOUT_FRACTION = 0.4;

/**
 * @param leftMs time until the deadline of the call, in milliseconds
 * @returns milliseconds, or undefined if the call must not be sent again
 */
export function responseTimeoutMs(
  { kind, objectiveMs }: Route,
  leftMs: number,
): number | undefined {
  if (kind !== 'repeatable') return undefined;
  return Math.min(objectiveMs * RESPONSE_TIMEOUT_OBJECTIVES, leftMs * RESPONSE_TIMEOUT_FRACTION);
}
