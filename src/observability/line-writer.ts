/**
 * Writes log lines to a file descriptor without ever making the caller wait: lines are queued up to
 * a number of bytes, one write is under way at a time, and what does not fit is counted.
 */
import { write } from 'node:fs';

export interface LineWriterOptions {
  /** @default 1, the standard output */
  descriptor?: number;
  /** Bytes that may wait to be written. @default 262144 */
  maxQueuedBytes?: number;
  /** Lines and bytes a second that are taken at most, with as much at once. */
  budget?: LineRateLimit;
}

export interface LineRateLimit {
  linesPerSecond: number;
  bytesPerSecond: number;
}

/** Lines that matter more than others are kept when the budget is short. */
export type LinePriority = 'normal' | 'high';

const DEFAULT_QUEUED_BYTES = 256 * 1024;
const DEFAULT_BUDGET: LineRateLimit = { linesPerSecond: 1_000, bytesPerSecond: 512 * 1024 };
/** Share of the budget that only lines of high priority may use. */
const RESERVED_SHARE = 0.3;
const FLUSH_DELAY_MS = 50;

export class LineWriter {
  private readonly descriptor: number;
  private readonly maxQueuedBytes: number;
  private readonly budget: LineRateLimit;
  private queue: string[] = [];
  private queuedBytes = 0;
  private isWriting = false;
  private timer: NodeJS.Timeout | undefined;
  private lineTokens: number;
  private byteTokens: number;
  private refilledAt = performance.now();
  private dropped = 0;
  private droppedInAll = 0;

  constructor(options: LineWriterOptions = {}) {
    this.descriptor = options.descriptor ?? 1;
    this.maxQueuedBytes = options.maxQueuedBytes ?? DEFAULT_QUEUED_BYTES;
    this.budget = options.budget ?? DEFAULT_BUDGET;
    this.lineTokens = this.budget.linesPerSecond;
    this.byteTokens = this.budget.bytesPerSecond;
  }

  /** Lines that were not written since the start. */
  get droppedLines(): number {
    return this.droppedInAll;
  }

  write(line: string, priority: LinePriority): void {
    if (!this.takeBudget(line.length + 1, priority)) {
      this.dropped += 1;
      this.droppedInAll += 1;
      return;
    }
    this.queue.push(line);
    this.queuedBytes += line.length + 1;
    this.timer ??= setTimeout(() => this.flush(), FLUSH_DELAY_MS).unref();
  }

  /** Begins to write what is queued. */
  flush(): void {
    clearTimeout(this.timer);
    this.timer = undefined;
    if (this.isWriting || this.queue.length === 0) return;
    if (this.dropped > 0) this.queue.push(this.droppedLine());
    const bytes = Buffer.from(`${this.queue.join('\n')}\n`);
    this.queue = [];
    this.writeOut(bytes, 0);
  }

  private writeOut(bytes: Buffer, offset: number): void {
    this.isWriting = true;
    write(this.descriptor, bytes, offset, bytes.length - offset, null, (error, written) => {
      const end = offset + (written ?? 0);
      const isRetry = error?.code === 'EAGAIN' || error?.code === 'EINTR';
      if (isRetry) {
        setTimeout(() => this.writeOut(bytes, end), FLUSH_DELAY_MS).unref();
        return;
      }
      if (!error && end < bytes.length) {
        this.writeOut(bytes, end);
        return;
      }
      this.isWriting = false;
      this.queuedBytes = this.queue.reduce((sum, line) => sum + line.length + 1, 0);
      if (this.queue.length > 0) this.flush();
    });
  }

  private takeBudget(bytes: number, priority: LinePriority): boolean {
    this.refill();
    const share = priority === 'high' ? 0 : RESERVED_SHARE;
    const hasRoom = this.queuedBytes + bytes <= this.maxQueuedBytes * (1 - share);
    const hasLines = this.lineTokens - 1 >= this.budget.linesPerSecond * share;
    const hasBytes = this.byteTokens - bytes >= this.budget.bytesPerSecond * share;
    if (!hasRoom || !hasLines || !hasBytes) return false;
    this.lineTokens -= 1;
    this.byteTokens -= bytes;
    return true;
  }

  private refill(): void {
    const now = performance.now();
    const seconds = (now - this.refilledAt) / 1_000;
    this.refilledAt = now;
    const { linesPerSecond, bytesPerSecond } = this.budget;
    this.lineTokens = Math.min(linesPerSecond, this.lineTokens + seconds * linesPerSecond);
    this.byteTokens = Math.min(bytesPerSecond, this.byteTokens + seconds * bytesPerSecond);
  }

  private droppedLine(): string {
    const line = JSON.stringify({ event: 'log.dropped', lines: this.dropped });
    this.dropped = 0;
    return line;
  }
}
