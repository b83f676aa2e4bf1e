/** Tells when heap and buffers of this process come near what it may take. */
import { getHeapStatistics } from 'node:v8';
import { monotonicMs } from '../common/index.js';
import type { Logger } from '../observability/index.js';

/** A reading is used for so long, in milliseconds: memory grows by a few MB in that time at most. */
const READING_MS = 200;

export class MemoryPressureMonitor {
  private readAt = Number.NEGATIVE_INFINITY;
  private isOver = false;

  /** @param limitBytes no limit when undefined */
  constructor(
    private readonly limitBytes: number | undefined,
    private readonly logger: Logger,
    private readonly usedBytes: () => number = heapAndBuffers,
  ) {}

  /** Whether new work should be refused for now. */
  isUnderPressure(): boolean {
    if (this.limitBytes === undefined) return false;
    const now = monotonicMs();
    if (now - this.readAt < READING_MS) return this.isOver;
    this.readAt = now;
    this.note(this.usedBytes());
    return this.isOver;
  }

  private note(usedBytes: number): void {
    const isOver = usedBytes > this.limitBytes!;
    if (isOver === this.isOver) return;
    this.isOver = isOver;
    const figures = { usedBytes, limitBytes: this.limitBytes };
    if (isOver) this.logger.warn('memory tight', { effect: 'reservations refused', ...figures });
    else this.logger.info('memory has room again', figures);
  }
}

function heapAndBuffers(): number {
  const { used_heap_size: heap, external_memory: buffers } = getHeapStatistics();
  return heap + buffers;
}
