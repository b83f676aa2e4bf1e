/** Buffers a short response until it is complete; long responses are relayed as they arrive. */
import type { ResponseHead, CallExchange } from './call-exchange.js';
import { CallerResponse } from './caller-response.js';
import type { ResponseSink } from './send-attempt.js';

const MAX_BUFFERED_BYTES = 256 * 1024;

export class BufferedResponse implements ResponseSink {
  private chunks: Buffer[] = [];
  private bytes = 0;
  private readonly callerResponse: CallerResponse;

  constructor(exchange: CallExchange) {
    this.callerResponse = new CallerResponse(exchange);
  }

  get hasBegun(): boolean {
    return this.callerResponse.hasBegun;
  }

  get status(): number | undefined {
    return this.callerResponse.head?.status;
  }

  /** Discards the data of a failed attempt. */
  restart(): void {
    this.callerResponse.head = undefined;
    this.chunks = [];
    this.bytes = 0;
    this.callerResponse.noteHeldBytes(0);
  }

  onHead(head: ResponseHead): void {
    this.callerResponse.head = head;
  }

  onData(chunk: Buffer): boolean {
    if (this.hasBegun) return this.callerResponse.pass(chunk);
    this.chunks.push(chunk);
    this.bytes += chunk.length;
    if (this.bytes <= MAX_BUFFERED_BYTES) {
      this.callerResponse.noteHeldBytes(this.bytes);
      return true;
    }
    const buffered = Buffer.concat(this.chunks);
    this.chunks = [];
    this.callerResponse.noteHeldBytes(0);
    return this.callerResponse.pass(buffered);
  }

  end(): void {
    this.callerResponse.noteHeldBytes(0);
    this.callerResponse.end(this.chunks.length > 0 ? Buffer.concat(this.chunks) : undefined);
  }

  onceReadable(resume: () => void): void {
    this.callerResponse.onceReadable(resume);
  }
}
