/**
 * Reads the events that an earlier attempt of the caller brought, for a kept turn whose stream the caller resumes. They are
 * part of the history of later turns, and the gateway that relayed them may be gone. Another run of the call from its start,
 * at the same software version, generates them again; it is stopped after the last of them.
 */
import { ByteAccumulator } from '../memory-budget/index.js';
import type { CallDescription, CallExchange, ResponseHead } from './call-exchange.js';
import { CallRun, type CallRunOptions } from './call-run.js';
import { EventSplitter, type StreamEvent, appendData } from './event-splitter.js';

const HTTP_OK = 200;

/**
 * @param options of the run that resumed the stream; its deadline and the caller's leaving end this run as well
 * @param lastEventId id of the last event that the caller had before
 * @param heldBytes what is held of the call besides
 * @returns the data of all events up to that one, or undefined if they could not be read
 */
export async function readEarlierEvents(
  options: CallRunOptions,
  lastEventId: string,
  heldBytes: number,
): Promise<Buffer | undefined> {
  const { exchange, responseLimits } = options;
  const { maxTurnBytes } = responseLimits;
  const collector = new EventCollector({ caller: exchange, lastEventId, heldBytes, maxTurnBytes });
  // The turn is complete but for these events: the end of the process is no reason not to read them.
  const { fitsShutdown: _fitsShutdown, ...rest } = options;
  await new CallRun({ ...rest, exchange: collector, isKept: false }).run();
  return collector.takeOutput();
}

interface EventCollectorOptions {
  caller: CallExchange;
  lastEventId: string;
  /** What is held of the call besides, in bytes. */
  heldBytes: number;
  /** Maximum size of the events, in bytes. */
  maxTurnBytes: number;
}

/** Takes the caller's place in a call, and leaves it once it has the wanted events. */
export class EventCollector implements CallExchange {
  readonly description: CallDescription;
  readonly arrivedAt: number;
  private readonly splitter = new EventSplitter();
  private readonly data = new ByteAccumulator();
  private receivedBytes = 0;
  /** Bytes that the run holds. */
  private senderBytes = 0;
  private readonly leaveListeners: (() => void)[] = [];
  private isStream = false;
  private isComplete = false;
  private hasLeft = false;
  private readonly caller: CallExchange;

  constructor(private readonly options: EventCollectorOptions) {
    const { caller } = options;
    this.caller = caller;
    this.description = { ...caller.description, lastEventId: undefined };
    this.arrivedAt = caller.arrivedAt;
  }

  /** Undefined unless all wanted events have arrived. */
  takeOutput(): Buffer | undefined {
    return this.isComplete ? this.data.take() : undefined;
  }

  get isAbandoned(): boolean {
    return this.hasLeft || this.caller.isAbandoned;
  }

  onAbandoned(listener: () => void): void {
    this.caller.onAbandoned(listener);
    this.leaveListeners.push(listener);
  }

  begin({ status }: ResponseHead): void {
    this.isStream = status === HTTP_OK;
  }

  write(chunk: Uint8Array): boolean {
    if (!this.isStream) return true;
    this.receivedBytes += chunk.length;
    for (const event of this.splitter.push(Buffer.from(chunk))) this.take(event);
    this.noteHeldBytes(this.senderBytes);
    if (this.receivedBytes > this.options.maxTurnBytes) this.leave();
    return true;
  }

  noteHeldBytes(bytes: number): void {
    this.senderBytes = bytes;
    this.caller.noteHeldBytes?.(this.options.heldBytes + bytes + this.data.heldBytes);
  }

  onDrained(): void {}

  end(): void {}

  abort(): void {}

  refuse(): void {}

  private take(event: StreamEvent): void {
    if (this.hasLeft) return;
    const { lastEventId } = this.options;
    const isLater = isLaterThan(event.id, lastEventId);
    if (event.hasData && !isLater) appendData(event, this.data);
    this.isComplete = isLater || event.id === lastEventId;
    if (this.isComplete) this.leave();
  }

  private leave(): void {
    if (this.hasLeft) return;
    this.hasLeft = true;
    for (const listener of this.leaveListeners) listener();
  }
}

/** Whether an event comes after the last wanted one, whose id may be lower than that of the first event. */
function isLaterThan(id: string | undefined, lastEventId: string): boolean {
  return id !== undefined && Number(id) > Number(lastEventId);
}
