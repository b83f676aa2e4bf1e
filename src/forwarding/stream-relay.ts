/** Passes a stream of events on to the caller, whole events only, and counts what was passed on. */
import type { AnswerHead, CallExchange } from './call-exchange.js';
import { EventSplitter, dataOfEvent } from './event-splitter.js';
import type { AnswerSink } from './send-attempt.js';

const HTTP_OK = 200;

export interface StreamRelayOptions {
  exchange: CallExchange;
  /** Whether the data of the events is kept for later turns. */
  collectsOutput: boolean;
}

export class StreamRelay implements AnswerSink {
  /** Events passed on to the caller. */
  events = 0;
  /** Id of the last event passed on. */
  lastEventId: string | undefined;
  /** When the first event was passed on (monotonic, milliseconds). */
  firstEventAt: number | undefined;
  private head: AnswerHead | undefined;
  private splitter = new EventSplitter();
  private readonly output: Buffer[] = [];
  private begun = false;
  private isSlow = false;

  constructor(private readonly options: StreamRelayOptions) {
    this.lastEventId = options.exchange.description.lastEventId;
  }

  /** Whether the caller has received a part of the answer. */
  get hasBegun(): boolean {
    return this.begun;
  }

  get isStream(): boolean {
    return this.head?.status === HTTP_OK;
  }

  get status(): number | undefined {
    return this.head?.status;
  }

  get hasPartialEvent(): boolean {
    return this.splitter.hasPartialEvent;
  }

  get collectedOutput(): Buffer {
    return Buffer.concat(this.output);
  }

  /** Forgets what a send that broke off has left; the next one goes on after the last event. */
  restart(): void {
    this.splitter = new EventSplitter();
    if (!this.begun) this.head = undefined;
  }

  onHead(head: AnswerHead): void {
    this.head ??= head;
  }

  onData(chunk: Buffer): boolean {
    if (!this.isStream) return this.pass(chunk);
    const passable: Buffer[] = [];
    for (const event of this.splitter.push(chunk)) {
      passable.push(event.bytes);
      if (event.id !== undefined) this.lastEventId = event.id;
      if (!event.hasData) continue;
      this.events += 1;
      if (this.options.collectsOutput) this.output.push(dataOfEvent(event));
    }
    if (passable.length === 0) return true;
    this.firstEventAt ??= performance.now();
    return this.pass(passable.length === 1 ? passable[0]! : Buffer.concat(passable));
  }

  /** Ends the answer as complete. */
  end(): void {
    this.begin();
    this.options.exchange.end();
  }

  /** Calls `resume` when the caller has read what waits for it. */
  onceReadable(resume: () => void): void {
    this.options.exchange.onDrained(() => {
      if (!this.isSlow) return;
      this.isSlow = false;
      resume();
    });
  }

  private pass(chunk: Buffer): boolean {
    this.begin();
    this.isSlow = !this.options.exchange.write(chunk);
    return !this.isSlow;
  }

  private begin(): void {
    if (this.begun || !this.head) return;
    this.begun = true;
    this.options.exchange.begin(this.head);
  }
}
