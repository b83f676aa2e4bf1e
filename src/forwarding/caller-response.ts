/** The way of one answer to its caller: its head once, then its parts, waiting for slow readers. */
import type { ResponseHead, CallExchange } from './call-exchange.js';

export class CallerResponse {
  /** Head of the answer, once a back end has sent one. */
  head: ResponseHead | undefined;
  private begun = false;
  private isSlow = false;
  private resume: (() => void) | undefined;

  constructor(private readonly exchange: CallExchange) {
    exchange.onDrained(() => this.onDrained());
  }

  /** Whether the caller has received a part of the answer. */
  get hasBegun(): boolean {
    return this.begun;
  }

  /** @returns false when the caller reads slowly; see `onceReadable` */
  pass(chunk: Buffer): boolean {
    this.begin();
    this.isSlow = !this.exchange.write(chunk);
    return !this.isSlow;
  }

  /** Ends the answer as complete. */
  end(chunk?: Buffer): void {
    this.begin();
    this.exchange.end(chunk);
  }

  /** Calls `resume`, and none that was named before, when the caller has read what waits for it. */
  onceReadable(resume: () => void): void {
    this.resume = resume;
  }

  private onDrained(): void {
    if (!this.isSlow) return;
    this.isSlow = false;
    this.resume?.();
  }

  private begin(): void {
    if (this.begun || !this.head) return;
    this.begun = true;
    this.exchange.begin(this.head);
  }
}
