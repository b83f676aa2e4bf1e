/** The caller's side of one call over HTTP: forwards responses and writes the gateway's own error responses. */
import type { ServerResponse } from 'node:http';
import type {
  ResponseHead,
  CallDescription,
  CallExchange,
  Disconnector,
  Refusal,
  RefusalReason,
} from './call-exchange.js';
import { firstHeader } from '../http/index.js';
import { type MemoryBudget, type MemoryHolder, OutgoingAnswer } from '../memory-budget/index.js';

/** Statuses that promise that the call has not run; they may carry `Retry-After`. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([429, 503]);

export interface HttpExchangeOptions {
  /** Status of a refusal. */
  statusOf: (reason: RefusalReason) => number;
  /** Whether the response closes its connection. */
  closesConnection: () => boolean;
  /** Accounts for the request's body. @default it is not counted */
  heldRequest?: MemoryHolder;
  /** Budget of the answer's bytes. @default they are not counted */
  budget?: MemoryBudget;
  /** Unsent bytes of the answer up to which its backend is not paused. @default the budget's fair share */
  shareBytes?: number;
  /** Monotonic, in milliseconds. @default now */
  arrivedAt?: number;
}

export class HttpExchange implements CallExchange {
  readonly arrivedAt: number;
  /** The backend that the call was last sent to. */
  private backendId: string | undefined;
  private disconnector: Disconnector | undefined;
  /** Whether the response that has begun has neither a length nor chunks. */
  private isDelimitedByClose = false;
  private readonly abandonListeners: (() => void)[] = [];
  /** Undefined if the bytes of answers are not counted. */
  private readonly outgoing: OutgoingAnswer | undefined;

  constructor(
    readonly description: CallDescription,
    private readonly response: ServerResponse,
    private readonly options: HttpExchangeOptions,
  ) {
    const { budget, shareBytes, arrivedAt = performance.now() } = options;
    this.arrivedAt = arrivedAt;
    if (budget) {
      const onEnded = (): void => this.abort('memory-budget');
      const callId = description.id;
      const peer = (): string | undefined => this.backendId;
      const writer = response;
      this.outgoing = new OutgoingAnswer({ writer, budget, shareBytes, callId, peer, onEnded });
    }
    response.on('close', () => {
      this.release();
      if (!response.writableFinished) this.noteDisconnected('caller');
    });
    if (response.destroyed) this.noteDisconnected('caller');
  }

  get heldRequest(): MemoryHolder | undefined {
    return this.options.heldRequest;
  }

  get isAbandoned(): boolean {
    return this.disconnector !== undefined;
  }

  get disconnectedBy(): Disconnector | undefined {
    return this.disconnector;
  }

  /** Chunks exist since HTTP/1.1. */
  get endsWithConnection(): boolean {
    const { httpVersionMajor, httpVersionMinor } = this.response.req;
    return httpVersionMajor < 1 || (httpVersionMajor === 1 && httpVersionMinor === 0);
  }

  onAbandoned(listener: () => void): void {
    this.abandonListeners.push(listener);
  }

  begin(head: ResponseHead): void {
    const { response } = this;
    if (this.isAbandoned) return;
    const headers = this.options.closesConnection()
      ? [...head.headers, 'Connection', 'close']
      : head.headers;
    response.writeHead(head.status, head.statusText || undefined, headers);
    const hasLength = firstHeader(head.headers, 'content-length') !== undefined;
    this.isDelimitedByClose = !hasLength && !response.chunkedEncoding;
  }

  write(chunk: Uint8Array): boolean {
    return this.isAbandoned || (this.outgoing ?? this.response).write(chunk);
  }

  onDrained(listener: () => void): void {
    if (this.outgoing) this.outgoing.onRoom(listener);
    else this.response.on('drain', listener);
  }

  noteBackend(id: string): void {
    this.backendId = id;
  }

  noteHeldBytes(bytes: number): void {
    this.outgoing?.noteSenderBytes(bytes);
  }

  end(chunk?: Uint8Array): void {
    if (!this.isAbandoned) (this.outgoing ?? this.response).end(chunk);
  }

  /** Gives the counted bytes back once the call has ended and its response is sent or lost. */
  release(): void {
    this.outgoing?.close();
  }

  abort(by: Exclude<Disconnector, 'caller'> = 'gateway'): void {
    const { response } = this;
    const canRespond = !this.isAbandoned && !response.headersSent;
    this.noteDisconnected(by);
    if (canRespond) {
      this.respond({ reason: 'outcome-unknown' });
      return;
    }
    // Without a length or chunks, an orderly close would mark the response as complete.
    if (this.isDelimitedByClose) response.socket?.resetAndDestroy();
    else response.destroy();
  }

  refuse(refusal: Refusal): void {
    if (!this.isAbandoned) this.respond(refusal);
  }

  private respond(refusal: Refusal): void {
    const status = this.options.statusOf(refusal.reason);
    const body = JSON.stringify({ error: refusal.reason });
    const headers = ['Content-Type', 'application/json', 'Content-Length', String(body.length)];
    if (NOT_RUN_STATUSES.has(status) && refusal.retryAfterMs !== undefined) {
      headers.push('Retry-After', (refusal.retryAfterMs / 1_000).toFixed(3));
    }
    if (this.options.closesConnection()) headers.push('Connection', 'close');
    this.response.writeHead(status, headers);
    this.response.end(body);
  }

  private noteDisconnected(by: Disconnector): void {
    if (this.disconnector) return;
    this.disconnector = by;
    for (const listener of this.abandonListeners) listener();
  }
}
