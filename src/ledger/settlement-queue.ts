/** Queue of settlements without a waiting caller, until the ledger has committed them. */
import { monotonicMs } from '../common/index.js';
import type { Settlement } from './ledger-commands.js';

const MAX_BATCH_SIZE = 64;
/** Age at which an undelivered settlement is dropped, in milliseconds; its reservation remains charged. */
const MAX_AGE_MS = 30_000;

interface QueuedSettlement {
  settlement: Settlement;
  queuedAt: number;
}

/** Settlements that are sent in one request. */
export class SettlementBatch {
  constructor(private readonly queued: QueuedSettlement[]) {}

  get settlements(): Settlement[] {
    return this.queued.map(({ settlement }) => settlement);
  }

  /** Settlements to retry. Those with a draw on an allowance are never dropped. */
  get undelivered(): QueuedSettlement[] {
    const now = monotonicMs();
    return this.queued.filter(
      ({ settlement, queuedAt }) => settlement.draw || now - queuedAt < MAX_AGE_MS,
    );
  }
}

export class SettlementQueue {
  private readonly queued: QueuedSettlement[] = [];

  get size(): number {
    return this.queued.length;
  }

  /** Age of the oldest settlement, in milliseconds; 0 if the queue is empty. */
  get oldestAgeMs(): number {
    const [oldest] = this.queued;
    return oldest ? monotonicMs() - oldest.queuedAt : 0;
  }

  add(settlement: Settlement): void {
    this.queued.push({ settlement, queuedAt: monotonicMs() });
  }

  /** Removes the oldest settlements. The caller must settle or requeue them. */
  take(limit = MAX_BATCH_SIZE): SettlementBatch {
    return new SettlementBatch(this.queued.splice(0, limit));
  }

  requeue(batch: SettlementBatch): void {
    this.queued.unshift(...batch.undelivered);
  }
}
