/**
 * Buffers an answer for its caller. Up to the fair share the answer is taken at the backend's speed, however slowly the
 * caller reads; beyond it the backend is paused.
 */
import { BlockQueue } from './block-queue.js';
import type { MemoryBudget, MemoryHolder } from './memory-budget.js';

/** The part of a Node HTTP response that is used. */
export interface AnswerWriter {
  /** Bytes that were written but are not sent yet. */
  readonly writableLength: number;
  /** @returns false if further bytes should wait for `drain` */
  write(chunk: Uint8Array, onSent: () => void): boolean;
  end(chunk?: Uint8Array): void;
  on(event: 'drain', listener: () => void): unknown;
}

export interface OutgoingAnswerOptions {
  writer: AnswerWriter;
  budget: MemoryBudget;
  /** Unsent bytes up to which the backend is not paused. @default the budget's fair share */
  shareBytes?: number;
  /** Id of the call, for the log. */
  callId?: string;
  /** The backend that sends the answer, for the log. */
  peer?: () => string | undefined;
  /** Breaks the answer off; called when the budget is exhausted and this answer is the largest holder. */
  onEnded: () => void;
}

/**
 * Only as much as Node buffers by itself is written to the response; the rest is queued here. Node sends all that it
 * has buffered in one operation and frees it as a whole, so that a backend would stay paused until the caller has read
 * everything.
 */
export class OutgoingAnswer {
  private readonly queue = new BlockQueue();
  private readonly roomListeners: (() => void)[] = [];
  private readonly onSent = (): void => this.update();
  private holder: MemoryHolder | undefined;
  /** Bytes that the sender of the answer holds before it writes them. */
  private senderBytes = 0;
  private isWriterFull = false;
  private isPaused = false;
  private wasPaused = false;
  private isComplete = false;
  private isClosed = false;

  constructor(private readonly options: OutgoingAnswerOptions) {
    options.writer.on('drain', () => this.onDrain());
  }

  /** @returns false if the fair share is used up; see `onRoom` */
  write(chunk: Uint8Array): boolean {
    if (this.isClosed) return true;
    if (this.isWriterFull) this.queue.push(chunk);
    else this.send(chunk);
    this.account();
    this.isPaused = !this.isClosed && this.isWriterFull && !this.isWithinFairShare;
    if (this.isPaused) this.notePaused();
    return !this.isPaused;
  }

  /** Ends the answer as complete, after all that was written before. */
  end(chunk?: Uint8Array): void {
    if (this.isClosed || this.isComplete) return;
    this.isComplete = true;
    if (chunk && this.isWriterFull) this.queue.push(chunk);
    if (this.queue.isEmpty) this.options.writer.end(chunk);
    else this.options.budget.observer?.noteAnswerCompletedEarly();
    this.account();
  }

  /** Adds a listener for the time when there is room again after `write` has returned false. */
  onRoom(listener: () => void): void {
    this.roomListeners.push(listener);
  }

  /** Sets the number of bytes of the answer that the sender holds and has not written yet. */
  noteSenderBytes(bytes: number): void {
    if (this.isClosed || bytes === this.senderBytes) return;
    this.senderBytes = bytes;
    this.account();
  }

  /** Frees what is not sent and gives the bytes back; the response has ended. */
  close(): void {
    if (this.isClosed) return;
    this.isClosed = true;
    this.queue.clear();
    this.holder?.release();
  }

  private get unsentBytes(): number {
    return this.queue.heldBytes + this.options.writer.writableLength;
  }

  private get isWithinFairShare(): boolean {
    const { budget, shareBytes = budget.fairShareBytes } = this.options;
    return this.unsentBytes <= shareBytes;
  }

  private send(chunk: Uint8Array): void {
    this.isWriterFull = !this.options.writer.write(chunk, this.onSent);
  }

  private onDrain(): void {
    if (this.isClosed) return;
    this.isWriterFull = false;
    const hadQueue = !this.queue.isEmpty;
    while (!this.isWriterFull && !this.queue.isEmpty) this.send(this.queue.shift()!);
    if (hadQueue && this.isComplete && this.queue.isEmpty) this.options.writer.end();
    this.update();
  }

  private update(): void {
    if (this.isClosed) return;
    this.account();
    const hasRoom = this.isPaused && (!this.isWriterFull || this.isWithinFairShare);
    if (!hasRoom || this.isClosed) return;
    this.isPaused = false;
    for (const listener of this.roomListeners) listener();
  }

  private notePaused(): void {
    if (!this.wasPaused) this.options.budget.observer?.noteAnswerPaused();
    this.wasPaused = true;
  }

  private account(): void {
    if (this.isClosed) return;
    const bytes = this.unsentBytes + this.senderBytes;
    if (bytes > 0) this.holder ??= this.register();
    this.holder?.resize(bytes);
  }

  private register(): MemoryHolder {
    const { budget, callId, peer, onEnded } = this.options;
    const end = (): void => {
      this.close();
      onEnded();
    };
    return budget.hold({ kind: 'answer', callId, peer, end });
  }
}
