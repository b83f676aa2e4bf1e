/** Requests, responses and one-way notifications in both directions over a framed socket. */
import { Deferred, LedgegaugeError, TimeoutError, monotonicMs } from '../common/index.js';
import { AdaptiveTimeout } from './adaptive-timeout.js';
import { LinkError, NotExecutedError, RemoteError } from './errors.js';
import type { FramedSocket } from './framed-socket.js';
import type { Method, MethodRouter } from './method.js';
import { type CallOptions, type PendingCall, PendingCalls } from './pending-calls.js';
import { receivedByMethod, sentByMethod } from './wire-counters.js';

/** Single-character kinds and keys keep messages small. */
type Envelope =
  | { k: 'q'; i: number; m: string; b: unknown }
  | { k: 'r'; i: number; b: unknown }
  | { k: 'e'; i: number; c: string; b: string; t: boolean }
  | { k: 'n'; m: string; b: unknown };

/** Minimum silence limit. Shorter silences after a request do not indicate a failure. */
export const SUSPECT_AFTER_SILENCE_MS = 250;
/**
 * Maximum silence limit, for slow peers. Bounds the time to detect a lost connection, which
 * shutdown timeouts rely on. A peer that is slower still has to perform a handshake beside each request.
 */
export const MAX_SILENCE_LIMIT_MS = 1_500;

/** Notifications are dropped while more than this many bytes are queued for a peer. */
const MAX_BUFFERED_NOTIFICATION_BYTES = 256 * 1024;

export interface RpcConnectionOptions {
  /** Called when a request reached the silence limit. @default closes the connection */
  onSuspect?: () => void;
  /** Called when a suspect connection is responsive again. @default nothing */
  onResponsive?: () => void;
  /** Silence limit shared by all connections to one peer. @default a separate limit */
  silenceLimit?: AdaptiveTimeout;
}

/** Creates the silence limit for one peer. */
export function createSilenceLimit(): AdaptiveTimeout {
  return new AdaptiveTimeout({
    baseMs: SUSPECT_AFTER_SILENCE_MS,
    maximumMs: MAX_SILENCE_LIMIT_MS,
  });
}

export class RpcConnection {
  private readonly pending = new PendingCalls({
    onTimeout: (call) => this.rejectTimedOut(call),
    onOverdue: () => this.evaluateSilence(),
  });
  /** Send time of the first request after the last received message (monotonic, milliseconds). */
  private awaitingSince: number | undefined;
  private suspicionTimer: NodeJS.Timeout | undefined;
  /** Start of the silence while the connection is suspect (monotonic, milliseconds). */
  private suspectSince: number | undefined;
  private readonly silenceLimit: AdaptiveTimeout;
  private running = 0;
  private isDraining = false;

  constructor(
    private readonly socket: FramedSocket,
    private readonly router: MethodRouter,
    readonly peerName: string,
    private readonly options: RpcConnectionOptions = {},
  ) {
    this.silenceLimit = options.silenceLimit ?? createSilenceLimit();
    socket.listen((value) => this.receive(value as Envelope));
    void socket.closed.then(() => this.failPending());
  }

  get closed(): Promise<void> {
    return this.socket.closed;
  }

  get isOpen(): boolean {
    return this.socket.isOpen;
  }

  /**
   * Whether requests have reached the silence limit. The next complete message clears the state.
   */
  get isSuspect(): boolean {
    return this.suspectSince !== undefined;
  }

  /** Time since data was last received, in milliseconds. */
  get silentMs(): number {
    return monotonicMs() - this.socket.lastReceivedMs;
  }

  /** Requests of the peer that are handled at the moment. */
  get runningRequests(): number {
    return this.running;
  }

  get traffic(): { received: number; sent: number } {
    return this.socket.traffic;
  }

  /**
   * Sends a request and waits for its response.
   * @throws TimeoutError if there is no response in time; the request may have been executed
   * @throws LinkError if the connection closes first; the request may have been executed
   * @throws RemoteError if the peer's handler failed
   */
  call<Request, Response>(
    method: Method<Request, Response>,
    request: Request,
    options: CallOptions,
  ): Promise<Response> {
    if (!this.socket.isOpen) return Promise.reject(this.linkError(method.name));
    const deferred = new Deferred<unknown>();
    this.awaitingSince ??= monotonicMs();
    const id = this.pending.add(deferred, method.name, options);
    sentByMethod.note(method.name);
    this.socket.send({ k: 'q', i: id, m: method.name, b: request } satisfies Envelope);
    return deferred.promise as Promise<Response>;
  }

  /**
   * Sends a notification. Delivery is not confirmed, and notifications to a slow peer are dropped
   * to limit buffering.
   */
  notify<Request>(method: Method<Request, void>, request: Request): void {
    if (this.isSuspect || this.socket.bufferedBytes > MAX_BUFFERED_NOTIFICATION_BYTES) return;
    sentByMethod.note(method.name);
    this.socket.send({ k: 'n', m: method.name, b: request } satisfies Envelope);
  }

  /** Closes once no request of the peer is handled. New ones are refused until then. */
  drain(): void {
    this.isDraining = true;
    this.endIfDrained();
  }

  close(): void {
    this.socket.destroy();
  }

  private rejectTimedOut({ deferred, method: step }: PendingCall): void {
    const context = { step, peer: this.peerName, retriable: true };
    deferred.reject(new TimeoutError('no response in time', context));
  }

  /** Deferred so that after a stall of the process received responses are processed first. */
  private checkSilence(): void {
    setImmediate(() => this.evaluateSilence());
  }

  private evaluateSilence(): void {
    if (this.awaitingSince === undefined || !this.socket.isOpen) return;
    const silentSince = Math.max(this.awaitingSince, this.socket.lastReceivedMs);
    const remainingMs = this.silenceLimit.currentMs - (monotonicMs() - silentSince);
    if (remainingMs > 0) {
      this.suspicionTimer ??= setTimeout(() => {
        this.suspicionTimer = undefined;
        this.checkSilence();
      }, remainingMs);
      return;
    }
    // Later timeouts during the same silence are not counted again.
    if (this.isSuspect) return;
    this.suspectSince = silentSince;
    this.silenceLimit.noteExpired();
    if (this.options.onSuspect) this.options.onSuspect();
    else this.socket.destroy();
  }

  private receive(envelope: Envelope): void {
    this.awaitingSince = undefined;
    this.clearSuspicion();
    switch (envelope.k) {
      case 'q':
        this.respond(envelope.i, envelope.m, envelope.b);
        break;
      case 'n':
        this.takeNotification(envelope.m, envelope.b);
        break;
      case 'r':
        this.completePending(envelope.i)?.deferred.resolve(envelope.b);
        break;
      case 'e':
        this.rejectCall(envelope.i, envelope.c, envelope.b, envelope.t);
        break;
      default:
        this.socket.destroy();
    }
  }

  private clearSuspicion(): void {
    if (this.suspectSince === undefined) return;
    this.silenceLimit.noteLate(monotonicMs() - this.suspectSince);
    this.suspectSince = undefined;
    this.options.onResponsive?.();
  }

  private endIfDrained(): void {
    if (this.isDraining && this.running === 0) this.socket.end();
  }

  private respond(id: number, method: string, request: unknown): void {
    this.running += 1;
    let response: unknown;
    try {
      response = this.runHandler(method, request);
    } catch (error) {
      this.sendError(id, error);
      return;
    }
    if (!(response instanceof Promise)) {
      this.sendResponse(id, response);
      return;
    }
    response.then(
      (value) => this.sendResponse(id, value),
      (error) => this.sendError(id, error),
    );
  }

  private takeNotification(method: string, notification: unknown): void {
    try {
      const handled = this.runHandler(method, notification);
      if (handled instanceof Promise) handled.catch(() => undefined);
    } catch {
      // Nobody waits for the result of a notification.
    }
  }

  private sendResponse(id: number, response: unknown): void {
    try {
      this.socket.send({ k: 'r', i: id, b: response } satisfies Envelope);
    } catch (error) {
      this.sendError(id, error);
      return;
    }
    this.endRequest();
  }

  private sendError(id: number, error: unknown): void {
    const code = error instanceof Error ? error.name : 'Error';
    const message = error instanceof Error ? error.message : String(error);
    const retriable = error instanceof LedgegaugeError && error.retriable;
    this.socket.send({ k: 'e', i: id, c: code, b: message, t: retriable } satisfies Envelope);
    this.endRequest();
  }

  private endRequest(): void {
    this.running -= 1;
    this.endIfDrained();
  }

  /** @returns the handler's response or a promise of it, without a promise of its own */
  private runHandler(method: string, request: unknown): unknown {
    receivedByMethod.note(method);
    if (this.isDraining) throw this.notExecutedError(method);
    const handler = this.router.find(method);
    if (!handler) {
      throw new LedgegaugeError(`unknown method ${method}`, { step: method, peer: this.peerName });
    }
    return handler(request, { peerName: this.peerName });
  }

  private completePending(id: number): PendingCall | undefined {
    const call = this.pending.take(id);
    if (call && monotonicMs() <= call.responseDueAt) this.silenceLimit.reset();
    return call;
  }

  private rejectCall(id: number, code: string, message: string, retriable: boolean): void {
    const call = this.completePending(id);
    call?.deferred.reject(
      new RemoteError(message, code, { step: call.method, peer: this.peerName, retriable }),
    );
  }

  private failPending(): void {
    clearTimeout(this.suspicionTimer);
    for (const { deferred, method } of this.pending.takeAll())
      deferred.reject(this.linkError(method));
  }

  private notExecutedError(step: string): NotExecutedError {
    const context = { step, peer: this.peerName, retriable: true };
    return new NotExecutedError('this process stops; the request was not executed', context);
  }

  private linkError(step: string): LinkError {
    return new LinkError('link is down', { step, peer: this.peerName, retriable: true });
  }
}
