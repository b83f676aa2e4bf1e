/**
 * Logs who holds a process's memory when it comes near its limit, since a process that is ended for memory has no last line.
 * What holders count is a part of it: heap, copies and garbage are in no budget.
 */
import type { Logger } from '../observability/index.js';
import type { MemoryBudget } from './memory-budget.js';

const CHECK_INTERVAL_MS = 250;
/** Parts of the memory limit: above the first a line is logged, and below the second the next rise is logged again. */
const NEAR_LIMIT_FRACTION = 0.75;
const ROOM_AGAIN_FRACTION = 0.6;

export interface MemoryWatchOptions {
  memoryLimitBytes: number;
  budget: MemoryBudget;
  logger: Logger;
  /** Resident memory of the process, in bytes. @default as the system tells it */
  readResidentBytes?: () => number;
}

export class MemoryWatch {
  private isNearLimit = false;
  private readonly timer: NodeJS.Timeout;

  constructor(private readonly options: MemoryWatchOptions) {
    this.timer = setInterval(() => this.check(), CHECK_INTERVAL_MS);
    this.timer.unref();
  }

  stop(): void {
    clearInterval(this.timer);
  }

  check(): void {
    const { memoryLimitBytes, budget, logger, readResidentBytes } = this.options;
    const residentBytes = (readResidentBytes ?? process.memoryUsage.rss)();
    if (residentBytes < memoryLimitBytes * ROOM_AGAIN_FRACTION) this.isNearLimit = false;
    if (this.isNearLimit || residentBytes < memoryLimitBytes * NEAR_LIMIT_FRACTION) return;
    this.isNearLimit = true;
    logger.warn('memory nearly exhausted', { memoryLimitBytes, ...budget.describe() });
  }
}
