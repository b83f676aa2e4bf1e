/**
 * Writes log lines to a file descriptor without blocking the caller: lines are queued up to a size
 * limit, one write is in progress at a time, and dropped lines are counted.
 */
import { write } from 'node:fs';

export interface LineWriterOptions {
  /** @default 1, the standard output */
  descriptor?: number;
  /** Maximum size of the queue. @default 262144 */
  maxQueuedBytes?: number;
  /** Rate limit; bursts of one second's worth are accepted. */
  budget?: LineRateLimit;
}

export interface LineRateLimit {
  linesPerSecond: number;
  bytesPerSecond: number;
}

/** High-priority lines are kept when the rate limit is nearly exhausted. */
export type LinePriority = 'normal' | 'high';

const DEFAULT_QUEUED_BYTES = 256 * 1024;
const DEFAULT_RATE_LIMIT: LineRateLimit = { linesPerSecond: 1_000, bytesPerSecond: 512 * 1024 };
/** Fraction of the limits that is reserved for high-priority lines. */
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
  private totalDropped = 0;

  constructor(options: LineWriterOptions = {}) {
    this.descriptor = options.descriptor ?? 1;
    this.maxQueuedBytes = options.maxQueuedBytes ?? DEFAULT_QUEUED_BYTES;
    this.budget = options.budget ?? DEFAULT_RATE_LIMIT;
    this.lineTokens = this.budget.linesPerSecond;
    this.byteTokens = this.budget.bytesPerSecond;
  }

  /** Total number of dropped lines. */
  get droppedLines(): number {
    return this.totalDropped;
  }

  write(line: string, priority: LinePriority): void {
    if (!this.tryAcquire(line.length + 1, priority)) {
      this.dropped += 1;
      this.totalDropped += 1;
      return;
    }
    this.queue.push(line);
    this.queuedBytes += line.length + 1;
    this.timer ??= setTimeout(() => this.flush(), FLUSH_DELAY_MS).unref();
  }

  /** Starts to write the queued lines. */
  flush(): void {
    clearTimeout(this.timer);
    this.timer = undefined;
    if (this.isWriting || this.queue.length === 0) return;
    if (this.dropped > 0) this.queue.push(this.formatDroppedLine());
    const bytes = Buffer.from(`${this.queue.join('\n')}\n`);
    this.queue = [];
    this.writeBytes(bytes, 0);
  }

  private writeBytes(bytes: Buffer, offset: number): void {
    this.isWriting = true;
    write(this.descriptor, bytes, offset, bytes.length - offset, null, (error, written) => {
      const end = offset + (written ?? 0);
      const isRetry = error?.code === 'EAGAIN' || error?.code === 'EINTR';
      if (isRetry) {
        setTimeout(() => this.writeBytes(bytes, end), FLUSH_DELAY_MS).unref();
        return;
      }
      if (!error && end < bytes.length) {
        this.writeBytes(bytes, end);
        return;
      }
      this.isWriting = false;
      this.queuedBytes = this.queue.reduce((sum, line) => sum + line.length + 1, 0);
      if (this.queue.length > 0) this.flush();
    });
  }

  private tryAcquire(bytes: number, priority: LinePriority): boolean {
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

  private formatDroppedLine(): string {
    const line = JSON.stringify({ event: 'log.dropped', lines: this.dropped });
    this.dropped = 0;
    return line;
  }
}
