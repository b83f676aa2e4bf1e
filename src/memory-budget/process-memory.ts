/** The memory budget of a process, with its metrics and the watch over the process's memory. */
import { Registry } from 'prom-client';
import { type Logger, addGauge } from '../observability/index.js';
import { defaultMemoryLimitBytes } from './default-memory-limit.js';
import { processGcTrigger } from './gc-trigger.js';
import { MemoryBudget } from './memory-budget.js';
import { MemoryBudgetMetrics } from './memory-budget-metrics.js';
import { MemoryWatch } from './memory-watch.js';

export interface ProcessMemoryOptions {
  /** Memory limit above which the process is killed. @default half of the machine's memory */
  memoryLimitBytes?: number;
  logger: Logger;
  /** Of the metrics. @default one of its own */
  registry?: Registry;
}

export class ProcessMemory {
  readonly registry: Registry;
  readonly budget: MemoryBudget;
  private readonly watch: MemoryWatch;

  constructor({
    memoryLimitBytes = defaultMemoryLimitBytes(),
    logger,
    registry = new Registry(),
  }: ProcessMemoryOptions) {
    this.registry = registry;
    const observer = new MemoryBudgetMetrics(registry);
    const budget = new MemoryBudget({ memoryLimitBytes, logger, observer });
    this.budget = budget;
    observer.observe(budget);
    processGcTrigger.configure({ memoryLimitBytes, budget });
    addGauge(
      registry,
      'ledgegauge_memory_triggered_collections',
      'Garbage collections that received bytes have triggered before the garbage filled the process',
      () => processGcTrigger.collections,
    );
    this.watch = new MemoryWatch({ memoryLimitBytes, budget, logger });
  }

  stop(): void {
    this.watch.stop();
  }
}
