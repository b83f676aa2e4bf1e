/**
 * What the processor of a process is used for, as counters that only grow: turns of the event loop, collections of
 * garbage, and reads and writes of the internal protocol.
 */
import { PerformanceObserver, performance } from 'node:perf_hooks';
import { type WireCounters, wireCounters } from '../wire/index.js';

export interface ProcessLoad extends WireCounters {
  /** Processor time, in milliseconds. */
  processorMs: number;
  loopTurns: number;
  /** Events that the event loop has processed: readable sockets and completed operations of the thread pool. */
  loopEvents: number;
  collections: number;
  /** Time of the main thread in collections, in milliseconds. */
  collectionMs: number;
}

export class ProcessLoadMeter {
  private collections = 0;
  private collectionMs = 0;
  private readonly observer = new PerformanceObserver((list) => {
    for (const { duration } of list.getEntries()) {
      this.collections += 1;
      this.collectionMs += duration;
    }
  });

  constructor() {
    this.observer.observe({ entryTypes: ['gc'] });
  }

  read(): ProcessLoad {
    const { user, system } = process.cpuUsage();
    const { loopCount, events } = performance.nodeTiming.uvMetricsInfo;
    return {
      ...wireCounters,
      processorMs: (user + system) / 1_000,
      loopTurns: loopCount,
      loopEvents: events,
      collections: this.collections,
      collectionMs: this.collectionMs,
    };
  }

  stop(): void {
    this.observer.disconnect();
  }
}
