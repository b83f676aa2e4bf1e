/** The memory budget of a process, with its metrics and the watch over the process's memory. */
import { Registry } from 'prom-client';
import type { Logger } from '../observability/index.js';
import { defaultMemoryLimitBytes } from './default-memory-limit.js';
import { MemoryBudget } from './memory-budget.js';
import { MemoryBudgetMetrics } from './memory-budget-metrics.js';
import { MemoryWatch } from './memory-watch.js';

export interface ProcessMemoryOptions {
  /** Memory limit above which the process is killed. @default half of the machine's memory */
  memoryLimitBytes?: number;
  logger: Logger;
}

export class ProcessMemory {
  readonly registry = new Registry();
  readonly budget: MemoryBudget;
  private readonly watch: MemoryWatch;

  constructor({ memoryLimitBytes = defaultMemoryLimitBytes(), logger }: ProcessMemoryOptions) {
    const observer = new MemoryBudgetMetrics(this.registry);
    this.budget = new MemoryBudget({ memoryLimitBytes, logger, observer });
    observer.observe(this.budget);
    this.watch = new MemoryWatch({ memoryLimitBytes, budget: this.budget, logger });
  }

  stop(): void {
    this.watch.stop();
  }
}
