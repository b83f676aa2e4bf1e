/** Holds a request body while it is received, while its request waits, and while that runs. */
import { BlockQueue } from './block-queue.js';
import type { HolderOptions, MemoryBudget, MemoryHolder } from './memory-budget.js';

export interface ReceivedBodyOptions {
  /** Absent if the bytes are not counted. */
  budget: MemoryBudget | undefined;
  /** Id of the call, for the log. */
  callId?: string;
  /** The caller that sends the body, for the log. */
  peer?: () => string | undefined;
  /** Called when this body is discarded: as the largest holder of an exhausted budget, or because too much is running. */
  onEnded: () => void;
}

export class ReceivedBody {
  private readonly queue = new BlockQueue();
  private receivedBytes = 0;
  private isDropped = false;
  private isTaken = false;
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

  /** Accounts for the body; undefined if it is empty or not counted. */
  get held(): MemoryHolder | undefined {
    return this.holder;
  }

  /**
   * Returns the complete body, which is counted as that of a running request until `release`. Undefined if it was
   * discarded, also now because running requests leave no room for it.
   */
  take(): Buffer | undefined {
    if (this.isDropped) return undefined;
    if (!this.hasRoomToRun) {
      this.refuse();
      return undefined;
    }
    this.isTaken = true;
    const { callId, peer } = this.options;
    this.holder?.changeTo({ kind: 'running-request', callId, peer });
    const body = this.queue.takeAll();
    this.holder?.resize(body.length);
    return body;
  }

  /** Must be called once the request has ended whose body was taken. */
  release(): void {
    this.holder?.release();
  }

  /** Frees what was received; further bytes are ignored. No effect on a body that was taken. */
  discard(): void {
    if (this.isTaken) return;
    this.isDropped = true;
    this.queue.clear();
    this.holder?.release();
  }

  private get hasRoomToRun(): boolean {
    return this.options.budget?.hasRoomToRun(this.receivedBytes) ?? true;
  }

  private refuse(): void {
    this.discard();
    this.options.onEnded();
  }

  private register(): MemoryHolder | undefined {
    const { budget, callId, peer } = this.options;
    const options: HolderOptions = { kind: 'request-body', callId, peer, end: () => this.refuse() };
    return budget?.hold(options);
  }
}
