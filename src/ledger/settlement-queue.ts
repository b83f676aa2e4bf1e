/** Settlements that nobody waits for, until the ledger has taken note of them. */
import { monotonicMs } from '../common/index.js';
import type { Settlement } from './ledger-commands.js';

const MAX_BATCH = 64;
/** Settlements that could not be delivered for so long are given up: the reservation stands. */
const GIVE_UP_AFTER_MS = 30_000;

interface QueuedSettlement {
  settlement: Settlement;
  queuedAt: number;
}

/** Settlements that are on their way together. */
export class SettlementBatch {
  constructor(private readonly queued: QueuedSettlement[]) {}

  get settlements(): Settlement[] {
    return this.queued.map(({ settlement }) => settlement);
  }

  /** What is to be sent again; a turn that took from an allowance is never given up. */
  get undelivered(): QueuedSettlement[] {
    const now = monotonicMs();
    return this.queued.filter(
      ({ settlement, queuedAt }) => settlement.draw || now - queuedAt < GIVE_UP_AFTER_MS,
    );
  }
}

export class SettlementQueue {
  private readonly queued: QueuedSettlement[] = [];

  get size(): number {
    return this.queued.length;
  }

  /** How long the oldest has waited, in milliseconds; 0 when there is none. */
  get oldestAgeMs(): number {
    const [oldest] = this.queued;
    return oldest ? monotonicMs() - oldest.queuedAt : 0;
  }

  add(settlement: Settlement): void {
    this.queued.push({ settlement, queuedAt: monotonicMs() });
  }

  /** Takes the oldest out; whoever takes them settles them or puts them back. */
  take(most = MAX_BATCH): SettlementBatch {
    return new SettlementBatch(this.queued.splice(0, most));
  }

  requeue(batch: SettlementBatch): void {
    this.queued.unshift(...batch.undelivered);
  }
}
