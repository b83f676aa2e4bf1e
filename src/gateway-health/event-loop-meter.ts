/** Measures the load of this process's event loop. */
import {
  type EventLoopUtilization,
  type IntervalHistogram,
  monitorEventLoopDelay,
  performance,
} from 'node:perf_hooks';
import type { EventLoopLoad } from './overload-detector.js';

/** Interval of the timer whose delay is measured, in milliseconds; its wake-ups cost processor time. */
const TIMER_INTERVAL_MS = 20;
const DELAY_PERCENTILE = 99;
const NANOSECONDS_PER_MS = 1e6;

export class EventLoopMeter {
  private readonly delays: IntervalHistogram = monitorEventLoopDelay({
    resolution: TIMER_INTERVAL_MS,
  });
  private utilizationAt: EventLoopUtilization = performance.eventLoopUtilization();

  start(): void {
    this.read();
    this.delays.enable();
  }

  stop(): void {
    this.delays.disable();
  }

  /** Returns the load since the previous call. */
  read(): EventLoopLoad {
    const current = performance.eventLoopUtilization();
    const { utilization } = performance.eventLoopUtilization(current, this.utilizationAt);
    this.utilizationAt = current;
    // The histogram holds the intervals between two runs of the timer.
    const intervalMs = this.delays.percentile(DELAY_PERCENTILE) / NANOSECONDS_PER_MS;
    this.delays.reset();
    return { utilization, delayMs: Math.max(0, intervalMs - TIMER_INTERVAL_MS) };
  }
}
