/** Collects a short answer and passes it on once it is whole; long ones are passed on as they come. */
import type { ResponseHead, CallExchange } from './call-exchange.js';
import { CallerResponse } from './caller-response.js';
import type { ResponseSink } from './send-attempt.js';

const MAX_BUFFERED_BYTES = 256 * 1024;

export class BufferedResponse implements ResponseSink {
  private chunks: Buffer[] = [];
  private bytes = 0;
  private readonly answer: CallerResponse;

  constructor(exchange: CallExchange) {
    this.answer = new CallerResponse(exchange);
  }

  get hasBegun(): boolean {
    return this.answer.hasBegun;
  }

  get status(): number | undefined {
    return this.answer.head?.status;
  }

  /** Forgets what a send that broke off has left. */
  restart(): void {
    this.answer.head = undefined;
    this.chunks = [];
    this.bytes = 0;
  }

  onHead(head: ResponseHead): void {
    this.answer.head = head;
  }

  onData(chunk: Buffer): boolean {
    if (this.hasBegun) return this.answer.pass(chunk);
    this.chunks.push(chunk);
    this.bytes += chunk.length;
    if (this.bytes <= MAX_BUFFERED_BYTES) return true;
    const collected = Buffer.concat(this.chunks);
    this.chunks = [];
    return this.answer.pass(collected);
  }

  end(): void {
    this.answer.end(this.chunks.length > 0 ? Buffer.concat(this.chunks) : undefined);
  }

  onceReadable(resume: () => void): void {
    this.answer.onceReadable(resume);
  }
}
