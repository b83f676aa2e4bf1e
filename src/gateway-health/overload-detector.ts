/**
 * Decides whether the event loop of this gateway is overloaded. Load: gateways that are slower by a factor of 6 for
 * 6 s, or that get more than their share of a burst. Thresholds for entry and exit differ, so that a gateway does not
 * leave and return at every change of its load.
 */

/** Load of the event loop in one interval. */
export interface EventLoopLoad {
  /** Fraction of the time in which the loop was busy, 0 to 1. */
  utilization: number;
  /** Longest delay of the measuring timer, in milliseconds; 0 if it was not measured. */
  delayMs: number;
}

const OVERLOAD_UTILIZATION = 0.9;
const OVERLOAD_DELAY_MS = 100;
const NORMAL_UTILIZATION = 0.6;
const NORMAL_DELAY_MS = 50;
/** Time for which a threshold must be passed without interruption, in milliseconds. */
const CONFIRMATION_MS = 1_000;

export class OverloadDetector {
  private overloaded = false;
  /** Since when the load has been beyond the threshold that changes the state (monotonic, milliseconds). */
  private changingSince: number | undefined;

  get isOverloaded(): boolean {
    return this.overloaded;
  }

  /** @param load of the interval that ends now; an interval of a stall counts only as one measurement */
  update(nowMs: number, load: EventLoopLoad): void {
    const isChange = this.overloaded ? isNormal(load) : isOverload(load);
    if (!isChange) {
      this.changingSince = undefined;
      return;
    }
    this.changingSince ??= nowMs;
    if (nowMs - this.changingSince < CONFIRMATION_MS) return;
    this.overloaded = !this.overloaded;
    this.changingSince = undefined;
  }
}

function isOverload({ utilization, delayMs }: EventLoopLoad): boolean {
  return utilization > OVERLOAD_UTILIZATION && delayMs > OVERLOAD_DELAY_MS;
}

function isNormal({ utilization, delayMs }: EventLoopLoad): boolean {
  return utilization < NORMAL_UTILIZATION && delayMs < NORMAL_DELAY_MS;
}
