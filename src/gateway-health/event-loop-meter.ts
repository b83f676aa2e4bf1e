/**
 * Measures the load of this process's event loop. `monitorEventLoopDelay` is not used: its histogram leaves out the
 * first delay after each reset, which in a short interval is often the only one.
 */
import { type EventLoopUtilization, performance } from 'node:perf_hooks';
import { monotonicMs } from '../common/index.js';
import type { EventLoopLoad } from './overload-detector.js';

/** Interval of the timer whose delay is measured, in milliseconds; its wake-ups cost processor time. */
const TIMER_INTERVAL_MS = 25;

export class EventLoopMeter {
  private timer: NodeJS.Timeout | undefined;
  private ranAt = 0;
  private longestDelayMs = 0;
  private utilizationAt: EventLoopUtilization | undefined;

  start(): void {
    this.ranAt = monotonicMs();
    this.longestDelayMs = 0;
    this.utilizationAt = performance.eventLoopUtilization();
    this.timer = setInterval(() => this.recordDelay(), TIMER_INTERVAL_MS);
    this.timer.unref();
  }

  stop(): void {
    clearInterval(this.timer);
  }

  /**
   * Returns the load since the previous call. The calls are to follow each other so closely that the timer runs less
   * than a hundred times between them: the longest delay is then the 99th percentile.
   */
  read(): EventLoopLoad {
    this.recordDelay();
    const current = performance.eventLoopUtilization();
    const { utilization } = performance.eventLoopUtilization(current, this.utilizationAt);
    const delayMs = this.longestDelayMs;
    this.utilizationAt = current;
    this.longestDelayMs = 0;
    return { utilization, delayMs };
  }

  private recordDelay(): void {
    const now = monotonicMs();
    this.longestDelayMs = Math.max(this.longestDelayMs, now - this.ranAt - TIMER_INTERVAL_MS);
    this.ranAt = now;
  }
}
