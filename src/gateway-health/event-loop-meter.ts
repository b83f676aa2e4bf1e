/**
 * Measures the load of this process's event loop. `monitorEventLoopDelay` is not used: its histogram leaves out the
 * first delay after each reset, which in a short interval is often the only one.
 */
import { type EventLoopUtilization, performance } from 'node:perf_hooks';
import { monotonicMs } from '../common/index.js';
import type { EventLoopLoad } from './overload-detector.js';

/** Interval of the timer that measures delays, in milliseconds. */
const TIMER_INTERVAL_MS = 25;
/**
 * Utilization from which delays are measured: below every threshold of the overload. On a busy loop the timer runs
 * together with other work; on an idle one it would wake the process 40 times a second.
 */
const MEASURED_UTILIZATION = 0.5;

export class EventLoopMeter {
  private timer: NodeJS.Timeout | undefined;
  private ranAt = 0;
  private longestDelayMs = 0;
  private utilizationAt: EventLoopUtilization | undefined;

  start(): void {
    this.utilizationAt = performance.eventLoopUtilization();
  }

  stop(): void {
    clearInterval(this.timer);
    this.timer = undefined;
  }

  /**
   * Returns the load since the previous call. The calls are to follow each other so closely that the timer runs less
   * than a hundred times between them: the longest delay is then the 99th percentile. The delay is 0 where it was not
   * measured.
   * @param needsDelay whether to measure delays in the next interval even if the loop is not busy
   */
  read(needsDelay: boolean): EventLoopLoad {
    if (this.timer) this.recordDelay();
    const current = performance.eventLoopUtilization();
    const { utilization } = performance.eventLoopUtilization(current, this.utilizationAt);
    const delayMs = this.longestDelayMs;
    this.utilizationAt = current;
    this.longestDelayMs = 0;
    if (needsDelay || utilization > MEASURED_UTILIZATION) this.startTimer();
    else this.stop();
    return { utilization, delayMs };
  }

  private startTimer(): void {
    if (this.timer) return;
    this.ranAt = monotonicMs();
    this.timer = setInterval(() => this.recordDelay(), TIMER_INTERVAL_MS);
    this.timer.unref();
  }

  /** The time between two runs of the timer is the time that an event can have waited while the loop is blocked. */
  private recordDelay(): void {
    const now = monotonicMs();
    this.longestDelayMs = Math.max(this.longestDelayMs, now - this.ranAt);
    this.ranAt = now;
  }
}
