/**
 * The order of pipelined requests. The requests of a connection are handled one at a time, because a request behind a
 * response that closes the connection would run without an answer.
 */
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

/** A connection that a server has accepted; Node sets its server. */
type AcceptedSocket = Socket & { server?: Server };

/** What happens to a request that was received completely. */
export interface ReceivedRequestHandler {
  /** Called at once, or when the responses to the requests before are sent. */
  begin: () => void;
  /** Called in place of `begin` if the connection takes no response any more. */
  drop: () => void;
}

/** How the reading of a connection is controlled. */
export interface ReadControl {
  /** Number of received bytes that are not parsed yet. */
  readonly unparsedBytes: number;
  /** From now on nothing is read, until `release`. */
  hold(): void;
  release(): void;
  /** Drops what is not parsed, and what is still to come. */
  discard(): void;
  /** Is told that the head of the request was received. */
  noteHead(request: IncomingMessage): void;
  /** Is told the memory of the requests that wait behind the first, without their bodies. */
  noteWaitingBytes(bytes: number): void;
}

export interface RequestOrderOptions {
  /** Returns the control of a connection's reading. @default the flow of its socket */
  controlOf?: (socket: Socket) => ReadControl;
  /** Requests that may wait behind the first of their connection, on all connections. @default no limit */
  maxWaitingRequests?: number;
  /** Called when a request is received on a connection without one. */
  onBusy?: (socket: Socket) => void;
  /** Called when the last response on a connection is sent. */
  onIdle?: (socket: Socket) => void;
}

/** The requests of all connections that wait behind the first of their connection. */
class WaitingRequests {
  count = 0;

  constructor(private readonly max: number) {}

  get isFull(): boolean {
    return this.count >= this.max;
  }
}

/** Requests that may wait on one connection behind the first; it is not read while so many do. */
const MAX_WAITING_REQUESTS = 16;
/** Memory of a request and its response beside its headers and its body. */
const REQUEST_BYTES = 4_096;
/** Node's code if a caller closes its side of the connection within a request. */
const CLOSED_WITHIN_REQUEST = 'HPE_INVALID_EOF_STATE';
const TIMEOUT_RESPONSE = 'HTTP/1.1 408 Request Timeout\r\nConnection: close\r\n\r\n';
const TOO_LARGE_HEAD_RESPONSE =
  'HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\n\r\n';
const BAD_REQUEST_RESPONSE = 'HTTP/1.1 400 Bad Request\r\nConnection: close\r\n\r\n';

/** One request's place among the requests of its connection. */
export class RequestTurn {
  /** Set once the request was received completely. */
  private handler: ReceivedRequestHandler | undefined;
  private hasBegun = false;
  private isCancelled = false;
  private read: (() => void) | undefined;

  constructor(
    private readonly request: IncomingMessage,
    private readonly connection: ConnectionTurns,
  ) {}

  /** Whether no other request was received behind this one, so that its response may close the connection. */
  get isLast(): boolean {
    return this.connection.isLast(this);
  }

  /** Whether the request was received completely and waits for the response of an earlier one. */
  get isWaiting(): boolean {
    return this.handler !== undefined && !this.hasBegun;
  }

  /** Whether all bytes of the request have arrived, even if they were not read yet. */
  get isReceived(): boolean {
    return this.request.complete;
  }

  /** Calls `read`, at once or when few enough requests wait before, to receive the request's body. */
  receive(read: () => void): void {
    this.read = read;
    if (this.connection.hasRoom) this.readIfHeld();
  }

  /** Must be called once the request was received completely. */
  noteReceived(handler: ReceivedRequestHandler): void {
    this.handler = handler;
    if (this.isCancelled) this.connection.drop(this);
    else this.connection.noteReceived(this);
  }

  /** Memory that the request holds while it waits, without its body. */
  get waitingBytes(): number {
    return this.request.rawHeaders.reduce((sum, text) => sum + text.length, REQUEST_BYTES);
  }

  /** The request will be dropped as soon as it is received completely. */
  cancel(): void {
    this.isCancelled = true;
  }

  readIfHeld(): void {
    const { read } = this;
    this.read = undefined;
    read?.();
  }

  beginIfWaiting(): void {
    if (!this.isWaiting) return;
    this.hasBegun = true;
    this.handler!.begin();
  }

  /** @returns whether the request was dropped */
  dropIfWaiting(): boolean {
    if (!this.isWaiting) return false;
    this.hasBegun = true;
    this.handler!.drop();
    return true;
  }
}

/** The requests of one connection, oldest first. */
class ConnectionTurns {
  private readonly turns: RequestTurn[] = [];
  private waitingBytes = 0;
  private isHeld = false;
  /** Whether what follows on the connection can't be read. */
  private isBroken = false;

  constructor(
    private readonly socket: Socket,
    private readonly control: ReadControl,
    private readonly waiting: WaitingRequests,
    private readonly noteDropped: () => void,
  ) {}

  get waitingRequests(): number {
    return this.turns.filter((turn) => turn.isWaiting).length;
  }

  /** Whether another request may be received completely. */
  get hasRoom(): boolean {
    return this.waitingRequests < MAX_WAITING_REQUESTS;
  }

  /** Whether the head of another request may be received. */
  private get mayRead(): boolean {
    const isFull = this.waiting.isFull && this.turns.length > 1;
    return this.hasRoom && this.turns.length <= MAX_WAITING_REQUESTS && !isFull;
  }

  get hasRequest(): boolean {
    return this.turns.length > 0;
  }

  get hasReceivedRequest(): boolean {
    return this.turns.some((turn) => turn.isReceived);
  }

  enter(request: IncomingMessage): RequestTurn {
    const turn = new RequestTurn(request, this);
    this.turns.push(turn);
    this.control.noteHead(request);
    if (this.turns.length > 1) this.noteWaiting(1, turn);
    if (!this.mayRead) this.hold();
    return turn;
  }

  isLast(turn: RequestTurn): boolean {
    return this.turns.at(-1) === turn && this.control.unparsedBytes === 0;
  }

  noteReceived(turn: RequestTurn): void {
    if (!this.canRespond) this.drop(turn);
    else if (this.turns[0] === turn) turn.beginIfWaiting();
  }

  /** The first response is sent. */
  advance(): void {
    this.turns.shift();
    const [first] = this.turns;
    if (first) this.noteWaiting(-1, first);
    if (this.isBroken && !this.hasReceivedRequest) this.socket.destroySoon();
    if (!this.canRespond) {
      this.dropAll();
      return;
    }
    this.turns[0]?.beginIfWaiting();
    if (this.hasRoom) this.release();
  }

  /** The requests that were received completely are still answered before the connection is closed. */
  breakOff(): void {
    this.isBroken = true;
    this.hold();
  }

  /** The connection is closed. */
  close(): void {
    this.dropAll();
    this.waiting.count -= Math.max(0, this.turns.length - 1);
    this.turns.length = 0;
  }

  /** Closes the connection behind the response to the request that runs, if any, and drops the others. */
  closeBehindFirst(): void {
    const [first] = this.turns;
    if (!first?.isReceived) {
      this.socket.destroy();
      return;
    }
    this.isBroken = true;
    for (const turn of this.turns.slice(1)) this.removeWaiting(turn);
  }

  private dropAll(): void {
    for (const turn of this.turns) this.drop(turn);
  }

  /** Node ends the socket of a response that closes its connection; requests may still arrive before it is closed. */
  private get canRespond(): boolean {
    return this.socket.writable;
  }

  drop(turn: RequestTurn): void {
    if (turn.dropIfWaiting()) this.noteDropped();
  }

  private removeWaiting(turn: RequestTurn): void {
    this.turns.splice(this.turns.indexOf(turn), 1);
    this.noteWaiting(-1, turn);
    turn.cancel();
    this.drop(turn);
  }

  private noteWaiting(change: 1 | -1, turn: RequestTurn): void {
    this.waiting.count += change;
    this.waitingBytes += change * turn.waitingBytes;
    this.control.noteWaitingBytes(this.waitingBytes);
  }

  private hold(): void {
    this.isHeld = true;
    this.control.hold();
  }

  private release(): void {
    for (const turn of this.turns) turn.readIfHeld();
    if (!this.isHeld || this.isBroken || !this.mayRead) return;
    this.isHeld = false;
    this.control.release();
  }
}

export class RequestOrder {
  /** Number of completely received requests that got no response, because their connection was closed. */
  droppedRequests = 0;
  private readonly connections = new Map<Socket, ConnectionTurns>();

  private readonly controlOf: (socket: Socket) => ReadControl;
  private readonly waiting: WaitingRequests;

  constructor(private readonly options: RequestOrderOptions = {}) {
    const { controlOf = flowOf, maxWaitingRequests = Infinity } = options;
    this.controlOf = controlOf;
    this.waiting = new WaitingRequests(maxWaitingRequests);
  }

  /** Number of completely received requests that wait for the response of an earlier one. */
  get waitingRequests(): number {
    let count = 0;
    for (const connection of this.connections.values()) count += connection.waitingRequests;
    return count;
  }

  /** Must be called for each request once its head was received. */
  enter(request: IncomingMessage, response: ServerResponse): RequestTurn {
    const { server } = request.socket as AcceptedSocket;
    if (server && server.listenerCount('clientError') === 0) this.listenForErrors(server);
    const connection = this.connectionOf(request.socket);
    response.once('finish', () => {
      connection.advance();
      if (!connection.hasRequest) this.options.onIdle?.(request.socket);
    });
    if (!connection.hasRequest) this.options.onBusy?.(request.socket);
    return connection.enter(request);
  }

  /**
   * Handles what the server's connections send that is no request. Done by `enter` for a server without a handler: some of
   * Node's parsers report what follows a request that is the last of its connection, before that request is answered.
   */
  listenForErrors(server: Server): void {
    server.on('clientError', (error, socket) => this.handleClientError(error, socket as Socket));
  }

  /**
   * Must be called when a connection sends what is no request, or none in time. Node would write the response at once, in the
   * place of that to a request before.
   */
  handleClientError(error: NodeJS.ErrnoException, socket: Socket): void {
    const connection = this.connections.get(socket);
    if (!socket.writable) socket.destroy(error);
    else if (!connection?.hasReceivedRequest) this.refuseUnreadable(error, socket);
    else if (error.code === CLOSED_WITHIN_REQUEST) socket.destroy(error);
    else connection.breakOff();
  }

  private refuseUnreadable(error: NodeJS.ErrnoException, socket: Socket): void {
    // The parser would report each further part, and the connection would be destroyed before the response is sent.
    this.controlOf(socket).discard();
    socket.end(responseTo(error));
  }

  /** Whether a request of the connection was begun, waits, or is received. */
  hasRequest(socket: Socket): boolean {
    return this.connections.get(socket)?.hasRequest ?? false;
  }

  /** Closes the connection behind the response to its first request; no other is begun on it. */
  closeBehindFirst(socket: Socket): void {
    this.connections.get(socket)?.closeBehindFirst();
  }

  private connectionOf(socket: Socket): ConnectionTurns {
    const known = this.connections.get(socket);
    if (known) return known;
    const connection = new ConnectionTurns(
      socket,
      this.controlOf(socket),
      this.waiting,
      () => (this.droppedRequests += 1),
    );
    this.connections.set(socket, connection);
    socket.once('close', () => {
      this.connections.delete(socket);
      connection.close();
    });
    return connection;
  }
}

function flowOf(socket: Socket): ReadControl {
  return {
    unparsedBytes: 0,
    hold: () => void socket.pause(),
    release: () => void socket.resume(),
    discard: () => undefined,
    noteHead: () => undefined,
    noteWaitingBytes: () => undefined,
  };
}

function responseTo({ code }: NodeJS.ErrnoException): string {
  if (code === 'ERR_HTTP_REQUEST_TIMEOUT') return TIMEOUT_RESPONSE;
  if (code === 'HPE_HEADER_OVERFLOW') return TOO_LARGE_HEAD_RESPONSE;
  return BAD_REQUEST_RESPONSE;
}
