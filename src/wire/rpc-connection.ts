/** Requests, responses and one-way notices over one framed socket, in both directions. */
import { Deferred, LedgegaugeError, TimeoutError, monotonicMs } from '../common/index.js';
import { LinkError, RemoteError } from './errors.js';
import type { FramedSocket } from './framed-socket.js';
import type { Method, MethodRouter } from './method.js';

/** Envelope kinds, kept to one character for size on the wire. */
type Envelope =
  | { k: 'q'; i: number; m: string; b: unknown }
  | { k: 'r'; i: number; b: unknown }
  | { k: 'e'; i: number; c: string; b: string; t: boolean }
  | { k: 'n'; m: string; b: unknown };

interface PendingCall {
  deferred: Deferred<unknown>;
  timer: NodeJS.Timeout;
  method: string;
}

/** A shorter silence after the first unanswered request says nothing about the connection. */
const DEAD_AFTER_SILENCE_MS = 250;

export interface CallOptions {
  /** How long to wait for the response, in milliseconds. */
  timeoutMs: number;
}

export class RpcConnection {
  private nextId = 1;
  private readonly pending = new Map<number, PendingCall>();
  /** When the first request went out after the last whole message (monotonic, milliseconds). */
  private awaitingSince: number | undefined;

  constructor(
    private readonly socket: FramedSocket,
    private readonly router: MethodRouter,
    readonly peerName: string,
  ) {
    socket.listen((value) => this.receive(value as Envelope));
    void socket.closed.then(() => this.failPending());
  }

  get closed(): Promise<void> {
    return this.socket.closed;
  }

  get isOpen(): boolean {
    return this.socket.isOpen;
  }

  get traffic(): { received: number; sent: number } {
    return this.socket.traffic;
  }

  /**
   * Sends a request and waits for its response.
   * @throws TimeoutError when no response came in time; the request may have run
   * @throws LinkError when the connection closed first; the request may have run
   * @throws RemoteError when the peer's handler failed
   */
  call<Request, Response>(
    method: Method<Request, Response>,
    request: Request,
    options: CallOptions,
  ): Promise<Response> {
    if (!this.socket.isOpen) return Promise.reject(this.linkError(method.name));
    const id = this.nextId++;
    const deferred = new Deferred<unknown>();
    this.awaitingSince ??= monotonicMs();
    const timer = setTimeout(() => this.timeOut(id), options.timeoutMs);
    this.pending.set(id, { deferred, timer, method: method.name });
    this.socket.send({ k: 'q', i: id, m: method.name, b: request } satisfies Envelope);
    return deferred.promise as Promise<Response>;
  }

  /** Sends a notice; nothing tells whether it arrived. */
  notify<Request>(method: Method<Request, void>, request: Request): void {
    this.socket.send({ k: 'n', m: method.name, b: request } satisfies Envelope);
  }

  close(): void {
    this.socket.destroy();
  }

  private timeOut(id: number): void {
    const call = this.pending.get(id);
    if (!call) return;
    this.pending.delete(id);
    call.deferred.reject(
      new TimeoutError('no response in time', {
        step: call.method,
        peer: this.peerName,
        retriable: true,
      }),
    );
    // Not a byte since a request went out: the connection is likely dead without a sign.
    if (this.awaitingSince === undefined) return;
    const silentSince = Math.max(this.awaitingSince, this.socket.lastReceivedMs);
    if (monotonicMs() - silentSince >= DEAD_AFTER_SILENCE_MS) this.socket.destroy();
  }

  private receive(envelope: Envelope): void {
    this.awaitingSince = undefined;
    switch (envelope.k) {
      case 'q':
        void this.answer(envelope.i, envelope.m, envelope.b);
        break;
      case 'n':
        void this.runHandler(envelope.m, envelope.b).catch(() => undefined);
        break;
      case 'r':
        this.take(envelope.i)?.deferred.resolve(envelope.b);
        break;
      case 'e':
        this.rejectCall(envelope.i, envelope.c, envelope.b, envelope.t);
        break;
      default:
        this.socket.destroy();
    }
  }

  private async answer(id: number, method: string, request: unknown): Promise<void> {
    try {
      const response = await this.runHandler(method, request);
      this.socket.send({ k: 'r', i: id, b: response } satisfies Envelope);
    } catch (error) {
      const code = error instanceof Error ? error.name : 'Error';
      const message = error instanceof Error ? error.message : String(error);
      const retriable = error instanceof LedgegaugeError && error.retriable;
      this.socket.send({ k: 'e', i: id, c: code, b: message, t: retriable } satisfies Envelope);
    }
  }

  private async runHandler(method: string, request: unknown): Promise<unknown> {
    const handler = this.router.find(method);
    if (!handler) {
      throw new LedgegaugeError(`unknown method ${method}`, { step: method, peer: this.peerName });
    }
    return handler(request, { peerName: this.peerName });
  }

  private take(id: number): PendingCall | undefined {
    const call = this.pending.get(id);
    if (!call) return undefined;
    this.pending.delete(id);
    clearTimeout(call.timer);
    return call;
  }

  private rejectCall(id: number, code: string, message: string, retriable: boolean): void {
    const call = this.take(id);
    call?.deferred.reject(
      new RemoteError(message, code, { step: call.method, peer: this.peerName, retriable }),
    );
  }

  private failPending(): void {
    for (const id of [...this.pending.keys()]) {
      const call = this.take(id);
      call?.deferred.reject(this.linkError(call.method));
    }
  }

  private linkError(step: string): LinkError {
    return new LinkError('link is down', { step, peer: this.peerName, retriable: true });
  }
}
