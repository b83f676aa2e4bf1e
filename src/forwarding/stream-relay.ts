/** Passes a stream of events on to the caller, whole events only, and counts what was passed on. */
import type { AnswerHead, CallExchange } from './call-exchange.js';
import { CallerAnswer } from './caller-answer.js';
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
  private splitter = new EventSplitter();
  private readonly output: Buffer[] = [];
  private readonly answer: CallerAnswer;

  constructor(private readonly options: StreamRelayOptions) {
    this.lastEventId = options.exchange.description.lastEventId;
    this.answer = new CallerAnswer(options.exchange);
  }

  /** Whether the caller has received a part of the answer. */
  get hasBegun(): boolean {
    return this.answer.hasBegun;
  }

  get isStream(): boolean {
    return this.status === HTTP_OK;
  }

  get status(): number | undefined {
    return this.answer.head?.status;
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
    if (!this.hasBegun) this.answer.head = undefined;
  }

  onHead(head: AnswerHead): void {
    this.answer.head ??= head;
  }

  onData(chunk: Buffer): boolean {
    if (!this.isStream) return this.answer.pass(chunk);
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
    return this.answer.pass(passable.length === 1 ? passable[0]! : Buffer.concat(passable));
  }

  /** Ends the answer as complete. */
  end(): void {
    this.answer.end();
  }

  /** Calls `resume` when the caller has read what waits for it. */
  onceReadable(resume: () => void): void {
    this.answer.onceReadable(resume);
  }
}
