/**
 * Relays a stream of events to the caller, complete events only, and counts them. The stream may consist
 * of several runs; events that do not continue where the previous run broke off are rejected.
 */
import { firstHeader } from '../http/index.js';
import { ByteAccumulator } from '../memory-budget/index.js';
import type { ResponseHead, CallExchange } from './call-exchange.js';
import { CallerResponse } from './caller-response.js';
import { EventSequence } from './event-sequence.js';
import { EventSplitter, type StreamEvent, appendData } from './event-splitter.js';
import type { ResponseSink } from './send-attempt.js';
import { WholeResponseExchange } from './whole-response-exchange.js';

const HTTP_OK = 200;
const CONTENT_TYPE = 'content-type';
const CONTENT_LENGTH = 'content-length';
/** Of a turn's output: the one that is committed, and the ledger's message. */
const COPIES_DURING_COMMIT = 2;

export interface StreamRelayOptions {
  exchange: CallExchange;
  /**
   * Whether the turn is kept for later turns: the event data is collected, and the caller has the end of the response only
   * with `end`, which follows the commit of the turn.
   */
  isKept: boolean;
  /** Whether another run may resume the stream. */
  isResumable: boolean;
  /** Maximum size of one event, in bytes. */
  maxEventBytes: number;
  /** Maximum size of all events of a kept turn, in bytes. */
  maxTurnBytes: number;
  /** Called before the first event is relayed. */
  onBegun?: () => void;
}

export class StreamRelay implements ResponseSink {
  /** Number of events relayed to the caller. */
  events = 0;
  /** Id of the last relayed event. */
  lastEventId: string | undefined;
  /** When the first event was relayed (monotonic, milliseconds). */
  firstEventAt: number | undefined;
  private readonly splitter = new EventSplitter();
  /** Undefined if the stream is not resumable, so that its ids need no check. */
  private readonly sequence: EventSequence | undefined;
  private readonly output = new ByteAccumulator();
  /** Size of the relayed events. */
  private relayedBytes = 0;
  /** Size of what the commit of the output holds. */
  private commitBytes = 0;
  private readonly callerResponse: CallerResponse;
  private currentRejection: string | undefined;
  /** Number of events relayed before the current run. */
  private earlierEvents = 0;

  constructor(private readonly options: StreamRelayOptions) {
    this.lastEventId = options.exchange.description.lastEventId;
    this.sequence = options.isResumable ? new EventSequence(this.lastEventId) : undefined;
    this.callerResponse = new CallerResponse(callerSideOf(options));
  }

  get rejectionReason(): string | undefined {
    return this.currentRejection;
  }

  /** Whether another run can continue where the last one broke off. */
  get canResume(): boolean {
    if (!this.sequence || this.isTooLarge) return false;
    return !this.hasBegun || (this.isStream && this.sequence.canResume);
  }

  /** Whether a part of the response was sent to the caller. */
  get hasBegun(): boolean {
    return this.callerResponse.hasBegun;
  }

  get isStream(): boolean {
    return this.status === HTTP_OK;
  }

  get status(): number | undefined {
    return this.callerResponse.head?.status;
  }

  /** For a stream, whether the current run has brought an event. */
  get hasContent(): boolean | undefined {
    return this.isStream ? this.events > this.earlierEvents : undefined;
  }

  get hasPartialEvent(): boolean {
    return this.splitter.hasPartialEvent;
  }

  /** Memory that the incomplete event and the collected output take, in bytes. */
  get heldBytes(): number {
    return this.splitter.heldBytes + this.output.heldBytes + this.commitBytes;
  }

  /** Takes the collected output for the commit of the turn, whose copies of it are counted until the response ends. */
  takeOutput(): Buffer {
    const output = this.output.take();
    this.commitBytes = COPIES_DURING_COMMIT * output.length;
    this.noteHeldBytes();
    return output;
  }

  /** Frees what is held; the response will not be completed. */
  discard(): void {
    this.splitter.clear();
    this.output.clear();
    this.noteHeldBytes();
  }

  /** Discards the data of a failed attempt; the next one continues after the last event. */
  restart(): void {
    this.splitter.clear();
    this.earlierEvents = this.events;
    this.currentRejection = undefined;
    this.noteHeldBytes();
    this.sequence?.beginRun();
    if (!this.hasBegun) this.callerResponse.head = undefined;
  }

  onHead(head: ResponseHead): void {
    const { head: first } = this.callerResponse;
    if (!first) this.callerResponse.head = this.withoutLength(head);
    // The end of a different response would not be the end of the stream.
    else if (!isContinuation(first, head))
      this.currentRejection = 'the response does not continue the stream';
  }

  onData(chunk: Buffer): boolean {
    if (!this.isStream) return this.callerResponse.pass(chunk);
    const accepted: Buffer[] = [];
    for (const event of this.splitter.push(chunk)) {
      if (!this.isNext(event)) break;
      accepted.push(event.bytes);
      this.note(event);
    }
    this.noteHeldBytes();
    if (this.splitter.pendingBytes > this.options.maxEventBytes)
      this.currentRejection = 'event too large';
    else if (this.isTooLarge) this.currentRejection = 'turn too large';
    if (accepted.length === 0) return true;
    this.noteBegun();
    return this.callerResponse.pass(accepted.length === 1 ? accepted[0]! : Buffer.concat(accepted));
  }

  /** Ends the response as complete. */
  end(): void {
    this.commitBytes = 0;
    this.discard();
    this.callerResponse.end();
  }

  /** Calls `resume` when the backpressure is over. */
  onceReadable(resume: () => void): void {
    this.callerResponse.onceReadable(resume);
  }

  /** Whether the turn is larger than one that can be kept. */
  private get isTooLarge(): boolean {
    return this.options.isKept && this.relayedBytes > this.options.maxTurnBytes;
  }

  private noteHeldBytes(): void {
    this.callerResponse.noteHeldBytes(this.heldBytes);
  }

  private noteBegun(): void {
    if (this.firstEventAt !== undefined) return;
    this.firstEventAt = performance.now();
    this.options.onBegun?.();
  }

  private isNext({ id, hasData }: StreamEvent): boolean {
    if (!this.sequence || (id === undefined && !hasData)) return true;
    if (this.sequence.take(id)) return true;
    this.currentRejection = 'events out of order';
    return false;
  }

  private note(event: StreamEvent): void {
    this.relayedBytes += event.bytes.length;
    if (event.id !== undefined) this.lastEventId = event.id;
    if (!event.hasData) return;
    this.events += 1;
    if (this.options.isKept) appendData(event, this.output);
  }

  /**
   * Drops the Content-Length of a resumable stream, which covers one run only, and of a kept turn, whose last byte would
   * tell the caller that the turn is complete before it is committed.
   */
  private withoutLength(head: ResponseHead): ResponseHead {
    const { isKept, isResumable } = this.options;
    const mayState = head.status !== HTTP_OK || !(isKept || isResumable);
    return mayState ? head : { ...head, headers: withoutHeader(head.headers, CONTENT_LENGTH) };
  }
}

/** Without chunks, only a length can tell the caller that a kept turn is complete, and it is known at the end. */
function callerSideOf({ exchange, isKept }: StreamRelayOptions): CallExchange {
  return isKept && exchange.endsWithConnection ? new WholeResponseExchange(exchange) : exchange;
}

/** Whether a run with this head can continue the stream. */
function isContinuation(first: ResponseHead, head: ResponseHead): boolean {
  const typeOf = ({ headers }: ResponseHead): string | undefined =>
    firstHeader(headers, CONTENT_TYPE);
  return first.status === head.status && typeOf(first) === typeOf(head);
}

/** @param headers alternating names and values */
function withoutHeader(headers: readonly string[], name: string): string[] {
  return headers.filter((_, index) => headers[index - (index % 2)]!.toLowerCase() !== name);
}
