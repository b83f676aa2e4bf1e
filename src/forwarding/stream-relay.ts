/**
 * Passes a stream of events on to the caller, whole events only, and counts what was passed on. The
 * stream of one answer may be made of several runs; what does not go on where the run before broke is
 * not passed on.
 */
import { firstHeader } from '../http/index.js';
import type { ResponseHead, CallExchange } from './call-exchange.js';
import { CallerResponse } from './caller-response.js';
import { EventSequence } from './event-sequence.js';
import { EventSplitter, type StreamEvent, dataOfEvent } from './event-splitter.js';
import type { ResponseSink } from './send-attempt.js';

const HTTP_OK = 200;
const CONTENT_TYPE = 'content-type';
const CONTENT_LENGTH = 'content-length';

export interface StreamRelayOptions {
  exchange: CallExchange;
  /** Whether the data of the events is kept for later turns. */
  collectsOutput: boolean;
  /** Whether another run may take the stream up. */
  isResumable: boolean;
}

export class StreamRelay implements ResponseSink {
  /** Events passed on to the caller. */
  events = 0;
  /** Id of the last event passed on. */
  lastEventId: string | undefined;
  /** When the first event was passed on (monotonic, milliseconds). */
  firstEventAt: number | undefined;
  private splitter = new EventSplitter();
  /** Absent where each stream is one run, whose ids are its own matter. */
  private readonly sequence: EventSequence | undefined;
  private readonly output: Buffer[] = [];
  private readonly answer: CallerResponse;
  private currentObjection: string | undefined;

  constructor(private readonly options: StreamRelayOptions) {
    this.lastEventId = options.exchange.description.lastEventId;
    this.sequence = options.isResumable ? new EventSequence(this.lastEventId) : undefined;
    this.answer = new CallerResponse(options.exchange);
  }

  get rejectionReason(): string | undefined {
    return this.currentObjection;
  }

  /** Whether another run may go on where the last one broke. */
  get canResume(): boolean {
    if (!this.sequence) return false;
    return !this.hasBegun || (this.isStream && this.sequence.canResume);
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
    this.currentObjection = undefined;
    this.sequence?.beginRun();
    if (!this.hasBegun) this.answer.head = undefined;
  }

  onHead(head: ResponseHead): void {
    const { head: first } = this.answer;
    if (!first) this.answer.head = this.framedByEvents(head);
    // Whatever else a back end answers, its end is not the end of the stream.
    else if (!isSameKind(first, head)) this.currentObjection = 'no stream to go on with';
  }

  onData(chunk: Buffer): boolean {
    if (!this.isStream) return this.answer.pass(chunk);
    const passable: Buffer[] = [];
    for (const event of this.splitter.push(chunk)) {
      if (!this.follows(event)) break;
      passable.push(event.bytes);
      this.note(event);
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

  /** Whether the event is the next one of the stream. */
  private follows({ id, hasData }: StreamEvent): boolean {
    if (!this.sequence || (id === undefined && !hasData)) return true;
    if (this.sequence.take(id)) return true;
    this.currentObjection = 'events out of their order';
    return false;
  }

  private note(event: StreamEvent): void {
    if (event.id !== undefined) this.lastEventId = event.id;
    if (!event.hasData) return;
    this.events += 1;
    if (this.options.collectsOutput) this.output.push(dataOfEvent(event));
  }

  /** The length of one run is not that of the stream when others take it up. */
  private framedByEvents(head: ResponseHead): ResponseHead {
    if (!this.options.isResumable || head.status !== HTTP_OK) return head;
    return { ...head, headers: withoutHeader(head.headers, CONTENT_LENGTH) };
  }
}

/** Whether a run with this head may take up the stream of another. */
function isSameKind(first: ResponseHead, head: ResponseHead): boolean {
  const typeOf = ({ headers }: ResponseHead): string | undefined =>
    firstHeader(headers, CONTENT_TYPE);
  return first.status === head.status && typeOf(first) === typeOf(head);
}

/** @param headers names and values in turn */
function withoutHeader(headers: readonly string[], name: string): string[] {
  return headers.filter((_, index) => headers[index - (index % 2)]!.toLowerCase() !== name);
}
