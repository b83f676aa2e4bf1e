/** Decides how long calls may take, and whether they can end before a process that is to stop. */
import { monotonicMs } from '../common/index.js';
import type { Route } from '../routes/index.js';
import type { GracefulShutdown } from '../shutdown/index.js';
import type { CallDescription, CallExchange } from './call-exchange.js';
import { MIN_KEEP_TIMEOUT_MS, RefusedError } from './turn-reservations.js';

/** Time within which repeatable calls usually end, as a multiple of the objective of their route. */
const USUAL_END_OBJECTIVES = 3;

export class CallTimeLimits {
  constructor(private readonly shutdown: GracefulShutdown) {}

  /** Deadline of a call's final response (monotonic, milliseconds). */
  deadlineMs({ arrivedAt, description }: CallExchange, route: Route): number {
    return arrivedAt + timeLimitMs(description, route);
  }

  /**
   * Whether a call that arrived completely now could end before the process does.
   * @param route undefined if none is known for the call
   */
  allowArrival(description: CallDescription, route: Route | undefined): boolean {
    const now = monotonicMs();
    if (!route) return this.shutdown.allows(now);
    return this.fitsShutdown(route, now + timeLimitMs(description, route));
  }

  /** @throws RefusedError if the call has no time left, or ends too late for a process that is to stop */
  requireTime(route: Route, deadlineMs: number): void {
    if (deadlineMs <= monotonicMs()) throw new RefusedError('time-limit-before-start');
    if (!this.fitsShutdown(route, deadlineMs)) throw new RefusedError('shutting-down');
  }

  /** @param deadlineMs of a call (monotonic, milliseconds) */
  fitsShutdown(route: Route, deadlineMs: number): boolean {
    return this.shutdown.allows(Math.min(deadlineMs, usualEndMs(route)) + keepMs(route));
  }
}

/**
 * Time at which a call of the route that begins now has usually ended (monotonic, milliseconds). A call that may not be
 * repeated, and a stream, must end in any case; another is taken if it probably does, since its caller may repeat it.
 */
function usualEndMs({ kind, objectiveMs }: Route): number {
  if (kind !== 'repeatable') return Infinity;
  return monotonicMs() + objectiveMs * USUAL_END_OBJECTIVES;
}

/** Time that the turn of a call may take to be kept after its deadline, in milliseconds. */
function keepMs({ retainsTurns }: Route): number {
  return retainsTurns ? MIN_KEEP_TIMEOUT_MS : 0;
}

/** Time from the arrival of a call until its deadline, in milliseconds. */
function timeLimitMs({ patienceMs }: CallDescription, { timeoutMs }: Route): number {
  return Math.min(patienceMs ?? Infinity, timeoutMs);
}
