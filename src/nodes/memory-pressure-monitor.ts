/** Reports when heap and buffers of this process exceed its memory limit. */
import { getHeapStatistics } from 'node:v8';
import { monotonicMs } from '../common/index.js';
import type { Logger } from '../observability/index.js';

/** How long a measurement is reused; memory use grows by a few MB in that time at most. */
const MEASUREMENT_MAX_AGE_MS = 200;

export class MemoryPressureMonitor {
  private measuredAt = Number.NEGATIVE_INFINITY;
  private isOverLimit = false;

  /** @param limitBytes no limit when undefined */
  constructor(
    private readonly limitBytes: number | undefined,
    private readonly logger: Logger,
    private readonly usedBytes: () => number = heapAndBuffers,
  ) {}

  /** Whether new work should be rejected for now. */
  isUnderPressure(): boolean {
    if (this.limitBytes === undefined) return false;
    const now = monotonicMs();
    if (now - this.measuredAt < MEASUREMENT_MAX_AGE_MS) return this.isOverLimit;
    this.measuredAt = now;
    this.update(this.usedBytes());
    return this.isOverLimit;
  }

  private update(usedBytes: number): void {
    const isOverLimit = usedBytes > this.limitBytes!;
    if (isOverLimit === this.isOverLimit) return;
    this.isOverLimit = isOverLimit;
    const fields = { usedBytes, limitBytes: this.limitBytes };
    if (isOverLimit)
      this.logger.warn('memory tight', { effect: 'reservations refused', ...fields });
    else this.logger.info('memory has room again', fields);
  }
}

function heapAndBuffers(): number {
  const { used_heap_size: heap, external_memory: buffers } = getHeapStatistics();
  return heap + buffers;
}
