/** Buffers a short response until it is complete; long responses are relayed as they arrive. */
import { ByteAccumulator } from '../memory-budget/index.js';
import type { ResponseHead, CallExchange } from './call-exchange.js';
import { CallerResponse } from './caller-response.js';
import type { ResponseSink } from './send-attempt.js';

const MAX_BUFFERED_BYTES = 256 * 1024;

export class BufferedResponse implements ResponseSink {
  private readonly buffered = new ByteAccumulator();
  private readonly callerResponse: CallerResponse;

  constructor(exchange: CallExchange) {
    this.callerResponse = new CallerResponse(exchange);
  }

  get hasBegun(): boolean {
    return this.callerResponse.hasBegun;
  }

  get heldBytes(): number {
    return this.buffered.heldBytes;
  }

  get status(): number | undefined {
    return this.callerResponse.head?.status;
  }

  /** Discards the data of a failed attempt. */
  restart(): void {
    this.callerResponse.head = undefined;
    this.discard();
  }

  /** Frees what is held; the response will not be completed. */
  discard(): void {
    this.buffered.clear();
    this.callerResponse.noteHeldBytes(0);
  }

  onHead(head: ResponseHead): void {
    this.callerResponse.head = head;
  }

  onData(chunk: Buffer): boolean {
    if (this.hasBegun) return this.callerResponse.pass(chunk);
    if (this.buffered.length + chunk.length > MAX_BUFFERED_BYTES) {
      const whole = this.buffered.take(chunk);
      this.callerResponse.noteHeldBytes(0);
      return this.callerResponse.pass(whole);
    }
    this.buffered.append(chunk);
    this.callerResponse.noteHeldBytes(this.buffered.heldBytes);
    return true;
  }

  end(): void {
    this.callerResponse.noteHeldBytes(0);
    this.callerResponse.end(this.buffered.isEmpty ? undefined : this.buffered.take());
  }

  onceReadable(resume: () => void): void {
    this.callerResponse.onceReadable(resume);
  }
}
