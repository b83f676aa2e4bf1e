/** Writes one response to the caller: the head once, then the body, with backpressure. */
import type { ResponseHead, CallExchange } from './call-exchange.js';

export class CallerResponse {
  /** Head of the response, once received from a backend. */
  head: ResponseHead | undefined;
  private headSent = false;
  private isBlocked = false;
  private resume: (() => void) | undefined;

  constructor(private readonly exchange: CallExchange) {
    exchange.onDrained(() => this.onDrained());
  }

  /** Whether a part of the response was sent to the caller. */
  get hasBegun(): boolean {
    return this.headSent;
  }

  /** @returns false on backpressure; see `onceReadable` */
  pass(chunk: Buffer): boolean {
    this.begin();
    this.isBlocked = !this.exchange.write(chunk);
    return !this.isBlocked;
  }

  /** Tells how many bytes are held for later calls of `pass` or `end`. */
  noteHeldBytes(bytes: number): void {
    this.exchange.noteHeldBytes?.(bytes);
  }

  /** Ends the response as complete. */
  end(chunk?: Buffer): void {
    this.begin();
    this.exchange.end(chunk);
  }

  /** Calls `resume`, replacing any earlier callback, when the backpressure is over. */
  onceReadable(resume: () => void): void {
    this.resume = resume;
  }

  private onDrained(): void {
    if (!this.isBlocked) return;
    this.isBlocked = false;
    this.resume?.();
  }

  private begin(): void {
    if (this.headSent || !this.head) return;
    this.headSent = true;
    this.exchange.begin(this.head);
  }
}
