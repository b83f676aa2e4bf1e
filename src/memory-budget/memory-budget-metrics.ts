/** Counters and gauges of the memory budget. */
import { Counter, Gauge, type Registry } from 'prom-client';
import {
  HOLDER_KINDS,
  type HolderKind,
  type MemoryBudget,
  type MemoryBudgetObserver,
} from './memory-budget.js';

export class MemoryBudgetMetrics implements MemoryBudgetObserver {
  private readonly endedHolders: Counter<'kind'>;
  private readonly pausedAnswers: Counter;
  private readonly earlyAnswers: Counter;

  constructor(private readonly registry: Registry) {
    const registers = [registry];
    this.endedHolders = new Counter({
      name: 'ledgegauge_memory_ended_holders_total',
      help: 'Holders that were ended as the largest because the budget was exhausted',
      labelNames: ['kind'],
      registers,
    });
    this.pausedAnswers = new Counter({
      name: 'ledgegauge_memory_paused_answers_total',
      help: 'Answers that used up their fair share, so that their backend was paused',
      registers,
    });
    this.earlyAnswers = new Counter({
      name: 'ledgegauge_memory_early_answers_total',
      help: 'Answers that were complete before a slow caller had read them',
      registers,
    });
  }

  noteEnded(kind: HolderKind): void {
    this.endedHolders.inc({ kind });
  }

  noteAnswerPaused(): void {
    this.pausedAnswers.inc();
  }

  noteAnswerCompletedEarly(): void {
    this.earlyAnswers.inc();
  }

  /** Adds gauges of the budget's state. */
  observe(budget: MemoryBudget): void {
    const registers = [this.registry];
    new Gauge({
      name: 'ledgegauge_memory_held_bytes',
      help: 'Bytes that are buffered for callers',
      labelNames: ['kind'],
      registers,
      collect() {
        for (const kind of HOLDER_KINDS) this.set({ kind }, budget.heldBytesOf(kind));
      },
    });
    new Gauge({
      name: 'ledgegauge_memory_budget_bytes',
      help: 'Size of the budget',
      registers,
      collect() {
        this.set(budget.limitBytes);
      },
    });
  }
}
