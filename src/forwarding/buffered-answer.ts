/** Collects a short answer and passes it on once it is whole; long ones are passed on as they come. */
import type { AnswerHead, CallExchange } from './call-exchange.js';
import type { AnswerSink } from './send-attempt.js';

const MAX_BUFFERED_BYTES = 256 * 1024;

export class BufferedAnswer implements AnswerSink {
  private head: AnswerHead | undefined;
  private chunks: Buffer[] = [];
  private bytes = 0;
  private begun = false;
  private isSlow = false;

  constructor(private readonly exchange: CallExchange) {}

  get hasBegun(): boolean {
    return this.begun;
  }

  get status(): number | undefined {
    return this.head?.status;
  }

  /** Forgets what a send that broke off has left. */
  restart(): void {
    this.head = undefined;
    this.chunks = [];
    this.bytes = 0;
  }

  onHead(head: AnswerHead): void {
    this.head = head;
  }

  onData(chunk: Buffer): boolean {
    if (this.begun) return this.pass(chunk);
    this.chunks.push(chunk);
    this.bytes += chunk.length;
    if (this.bytes <= MAX_BUFFERED_BYTES) return true;
    this.begin();
    const collected = Buffer.concat(this.chunks);
    this.chunks = [];
    return this.pass(collected);
  }

  end(): void {
    this.begin();
    this.exchange.end(this.chunks.length > 0 ? Buffer.concat(this.chunks) : undefined);
  }

  onceReadable(resume: () => void): void {
    this.exchange.onDrained(() => {
      if (!this.isSlow) return;
      this.isSlow = false;
      resume();
    });
  }

  private begin(): void {
    if (this.begun || !this.head) return;
    this.begun = true;
    this.exchange.begin(this.head);
  }

  private pass(chunk: Buffer): boolean {
    this.isSlow = !this.exchange.write(chunk);
    return !this.isSlow;
  }
}
