/** Collects a request body while it is received. */
import { BlockQueue } from './block-queue.js';
import type { MemoryBudget, MemoryHolder } from './memory-budget.js';

export interface ReceivedBodyOptions {
  /** Absent if the bytes are not counted. */
  budget: MemoryBudget | undefined;
  /** Id of the call, for the log. */
  callId?: string;
  /** The caller that sends the body, for the log. */
  peer?: () => string | undefined;
  /** Called when the budget is exhausted and this body is discarded as the largest holder. */
  onEnded: () => void;
}

export class ReceivedBody {
  private readonly queue = new BlockQueue();
  private receivedBytes = 0;
  private isDropped = false;
  private holder: MemoryHolder | undefined;

  constructor(private readonly options: ReceivedBodyOptions) {}

  /** Number of bytes received so far. */
  get length(): number {
    return this.receivedBytes;
  }

  /** Whether the body was discarded, so that its call must not be handled. */
  get isDiscarded(): boolean {
    return this.isDropped;
  }

  add(chunk: Buffer): void {
    if (this.isDropped) return;
    this.receivedBytes += chunk.length;
    this.queue.push(chunk);
    this.holder ??= this.register();
    this.holder?.resize(this.queue.heldBytes);
  }

  /** Returns the complete body, which the budget does not count any more. */
  take(): Buffer {
    this.holder?.release();
    return this.queue.takeAll();
  }

  /** Frees what was received; further bytes are ignored. */
  discard(): void {
    this.isDropped = true;
    this.queue.clear();
    this.holder?.release();
  }

  private register(): MemoryHolder | undefined {
    const { budget, callId, peer, onEnded } = this.options;
    const end = (): void => {
      this.discard();
      onEnded();
    };
    return budget?.hold({ kind: 'request-body', callId, peer, end });
  }
}
