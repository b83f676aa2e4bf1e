/** The connections of an HTTP server: the order of their requests, responses until they are sent, and how they are closed. */
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { Server as NetServer, type Socket } from 'node:net';
import type { MemoryBudget } from '../memory-budget/index.js';
import { type ConnectionLimits, DEFAULT_CONNECTION_LIMITS } from './connection-limits.js';
import { ConnectionReader } from './connection-reader.js';
import { LingeringConnections } from './lingering-close.js';
import { OpenConnections } from './open-connections.js';
import { processReadScheduler } from './read-scheduler.js';
import { RequestOrder, type RequestTurn } from './request-order.js';
import { UnreadConnections } from './unread-connections.js';
import { waitUntilSent } from './responses.js';

export interface ServerConnectionsOptions {
  /** @default DEFAULT_CONNECTION_LIMITS */
  limits?: Partial<ConnectionLimits>;
  /** Budget of what callers have sent and is no whole request. @default it is not counted */
  budget?: MemoryBudget;
}

/** Response in place of a request that was not received completely; the caller may send it again. */
const NOT_READ_RESPONSE =
  'HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n';

/** Refused connections that may wait for their callers to read the response; others are closed as soon as it is written. */
const MAX_REFUSED_CONNECTIONS = 64;

export class ServerConnections {
  private readonly readers = new WeakMap<Socket, ConnectionReader>();
  /** Connections with received bytes that are not parsed yet. */
  private readonly unparsed = new Set<Socket>();
  private readonly order: RequestOrder;
  private readonly open: OpenConnections;
  private readonly lingering = new LingeringConnections();
  /** Number of responses that are written completely, but not yet sent. */
  private unsentResponses = 0;

  /** Must be created before the server accepts connections. */
  constructor(
    private readonly server: Server,
    private readonly options: ServerConnectionsOptions = {},
  ) {
    const limits = { ...DEFAULT_CONNECTION_LIMITS, ...options.limits };
    const { maxConnections, maxWaitingRequests, unreadTimeoutMs } = limits;
    const controlOf = (socket: Socket): ConnectionReader => this.readers.get(socket)!;
    this.open = new OpenConnections(maxConnections);
    this.order = new RequestOrder({
      controlOf,
      maxWaitingRequests,
      onBusy: (socket) => this.open.noteBusy(socket),
      onIdle: (socket) => this.open.noteIdle(socket),
    });
    this.order.listenForErrors(server);
    const unread = new UnreadConnections(unreadTimeoutMs, () => this.open.inUse);
    server.on('listening', () => unread.start());
    server.on('close', () => unread.stop());
    server.on('connection', (socket) => this.accept(socket));
  }

  /** Number of open connections, without those that were refused. */
  get openConnections(): number {
    return this.open.count;
  }

  /** Number of idle connections that were closed in favour of new ones. */
  get closedIdleConnections(): number {
    return this.open.closedIdle;
  }

  /** Number of connections that were refused because all others were in use. */
  get refusedConnections(): number {
    return this.open.refused;
  }

  /** Number of completely received requests that wait for the response of an earlier one. */
  get waitingRequests(): number {
    return this.order.waitingRequests;
  }

  /** Number of connections with received bytes that are not parsed yet, which may be requests. */
  get unparsedConnections(): number {
    return this.unparsed.size;
  }

  /** Number of completely received requests that got no response, because their connection was closed. */
  get droppedRequests(): number {
    return this.order.droppedRequests;
  }

  /** Number of connections whose caller may still be sending the rest of a refused request. */
  get lingeringConnections(): number {
    return this.lingering.count;
  }

  /** Must be called for each request once its head was received. */
  enter(request: IncomingMessage, response: ServerResponse): RequestTurn {
    return this.order.enter(request, response);
  }

  /** Discards a request behind a response that has closed its connection, and what follows it. */
  discardRest(request: IncomingMessage): void {
    this.readers.get(request.socket)?.discard();
    request.resume();
  }

  /** Must be called before the response that refuses a request of which not all was read. */
  lingerAfter(request: IncomingMessage): void {
    this.lingering.lingerAfter(request);
  }

  /** Resolves once a written response is sent completely or its connection is closed. */
  async waitUntilSent(request: IncomingMessage, response: ServerResponse): Promise<void> {
    this.unsentResponses += 1;
    await waitUntilSent(request, response);
    this.unsentResponses -= 1;
  }

  private accept(socket: Socket): void {
    this.read(socket);
    if (this.open.admit(socket)) return;
    this.readers.get(socket)!.discard();
    this.refuse(socket);
  }

  private read(socket: Socket): void {
    const reader = new ConnectionReader({
      socket,
      scheduler: processReadScheduler,
      budget: this.options.budget,
      onWaiting: (isWaiting) =>
        isWaiting ? this.unparsed.add(socket) : this.unparsed.delete(socket),
      onEnded: () => this.end(socket),
    });
    this.readers.set(socket, reader);
  }

  /** Closes a connection that holds too much, after a response if none of its requests has run. */
  private end(socket: Socket): void {
    this.readers.get(socket)!.discard();
    if (this.order.hasRequest(socket)) this.order.closeBehindFirst(socket);
    else this.refuse(socket);
  }

  private refuse(socket: Socket): void {
    if (!socket.writable) {
      socket.destroy();
      return;
    }
    socket.write(NOT_READ_RESPONSE);
    if (this.lingering.count < MAX_REFUSED_CONNECTIONS) this.lingering.linger(socket);
    else socket.destroySoon();
  }

  /** Stops accepting connections; open ones may finish their requests. */
  stopListening(): void {
    // The `close` of an HTTP server would also interrupt unsent responses to slow clients.
    if (this.server.listening) NetServer.prototype.close.call(this.server);
  }

  /** Closes connections without a request, unless a response is still unsent. */
  closeIdle(): void {
    // Node considers a connection idle as soon as its response is written, even if it is not sent.
    if (this.unsentResponses === 0 && this.unparsed.size === 0) this.server.closeIdleConnections();
  }

  /** Stops accepting connections, and closes the open ones. */
  close(): void {
    this.stopListening();
    this.server.closeAllConnections();
  }
}
