/**
 * HTTP server for requests that are small enough to be held in memory and are answered as a whole, such as those of an
 * operator API. Once it drains, it carries out no further request, and each that it has received gets a complete answer.
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { type MemoryBudget, type MemoryHolder, ReceivedBody } from '../memory-budget/index.js';
import {
  type DrainableServer,
  GracefulShutdown,
  type ShutdownTiming,
  drainServer,
} from '../shutdown/index.js';
import { HEAD_TIMEOUTS } from './connection-limits.js';
import type { RequestTurn } from './request-order.js';
import { onSilentBody } from './silent-body.js';
import { ServerConnections, type ServerConnectionsOptions } from './server-connections.js';

/** A request that was received completely. */
export interface WholeRequest {
  method: string;
  url: string;
  body: Buffer;
}

export interface WholeResponse {
  status: number;
  /** JSON. */
  body: string;
  /** Time after which a request that was not carried out may come again, in seconds. */
  retryAfterS?: number;
}

export interface RequestServerOptions {
  host: string;
  port: number;
  maxBodyBytes: number;
  /** Carries out a request. Must not reject. */
  answer: (request: WholeRequest) => Promise<WholeResponse>;
  /** Answers a request whose body exceeds `maxBodyBytes`, and of which the rest is not read. */
  refuseTooLarge: (method: string, url: string) => WholeResponse;
  /** Counts the bytes of requests and answers. @default they are not counted */
  memoryBudget?: MemoryBudget;
  /** Time without a byte after which a body is not waited for any longer, in milliseconds. @default 15000 */
  bodySilenceMs?: number;
  /** Answer to a request that is not carried out because no further byte of its body arrived in time. */
  silent: WholeResponse;
  /** Answer to a request that is not carried out because the memory for requests is used up. */
  withoutRoom: WholeResponse;
  /** Answer to a request that is not carried out because the process stops. */
  stopping: WholeResponse;
  /** Answer to a request that is still carried out when the process ends. */
  interrupted: WholeResponse;
  connections?: ServerConnectionsOptions;
}

/** What a drained server did since the request to stop. */
export interface DrainSummary {
  ms: number;
  /** Requests that were not carried out. */
  refused: number;
  /** Requests that were still carried out at the end. */
  interrupted: number;
  /** Requests whose response could not be sent completely. */
  unsent: number;
}

const DEFAULT_BODY_SILENCE_MS = 15_000;

/** A request whose response is not sent yet. */
interface OpenRequest {
  request: IncomingMessage;
  response: ServerResponse;
  turn: RequestTurn;
  body: ReceivedBody;
  /** Accounts for the answer's bytes. */
  answerHolder?: MemoryHolder;
  state: 'receiving' | 'waiting' | 'running' | 'answered';
}

export class RequestServer implements DrainableServer {
  private readonly server: Server;
  readonly connections: ServerConnections;
  private readonly open = new Set<OpenRequest>();
  private isDraining = false;
  private refused = 0;
  private interrupted = 0;

  private constructor(private readonly options: RequestServerOptions) {
    this.server = createServer({ ...HEAD_TIMEOUTS, noDelay: true }, (request, response) =>
      this.receive(request, response),
    );
    this.connections = new ServerConnections(this.server, options.connections);
  }

  static async start(options: RequestServerOptions): Promise<RequestServer> {
    const started = new RequestServer(options);
    await new Promise<void>((resolve, reject) => {
      started.server.once('error', reject);
      started.server.listen(options.port, options.host, resolve);
    });
    return started;
  }

  /** Port that the server listens on, also if the options left the choice to the system. */
  get port(): number {
    return (this.server.address() as AddressInfo).port;
  }

  get activeRequests(): number {
    return this.open.size;
  }

  /** Completes the requests that are carried out, refuses all others, and closes the server. */
  async drain(timing: ShutdownTiming): Promise<DrainSummary> {
    const shutdown = new GracefulShutdown();
    shutdown.begin(timing);
    const interruptCalls = async (): Promise<void> => this.interruptRequests();
    const unsent = await drainServer({ server: this, shutdown, interruptCalls });
    const { refused, interrupted } = this;
    return { ms: Math.round(shutdown.elapsedMs ?? 0), refused, interrupted, unsent };
  }

  startDraining(): void {
    this.isDraining = true;
  }

  /** Refuses all requests that are received in part: none of them would be carried out. */
  refuseLateRequests(): void {
    for (const open of this.inState('receiving')) this.refuse(open);
  }

  close(): void {
    this.connections.close();
  }

  private inState(state: OpenRequest['state']): OpenRequest[] {
    return [...this.open].filter((open) => open.state === state);
  }

  private interruptRequests(): void {
    for (const open of this.inState('running')) {
      this.interrupted += 1;
      this.respond(open, this.options.interrupted);
    }
  }

  private receive(request: IncomingMessage, response: ServerResponse): void {
    request.on('error', () => undefined);
    response.on('error', () => undefined);
    const turn = this.connections.enter(request, response);
    const body = new ReceivedBody({
      budget: this.options.memoryBudget,
      peer: () => request.socket.remoteAddress,
      onEnded: () => this.respond(open, this.options.withoutRoom),
    });
    const open: OpenRequest = { request, response, turn, body, state: 'receiving' };
    this.trackUntilSent(open);
    turn.receive(() => this.readBody(open));
  }

  private trackUntilSent(open: OpenRequest): void {
    const { request, response } = open;
    const { socket } = request;
    const forget = (): void => {
      this.open.delete(open);
      socket.off('close', forget);
      this.release(open);
    };
    this.open.add(open);
    response.once('close', forget);
    // A response that is queued behind another one gets no `close` event.
    socket.once('close', forget);
  }

  private readBody(open: OpenRequest): void {
    const { maxBodyBytes, refuseTooLarge, silent } = this.options;
    const { bodySilenceMs = DEFAULT_BODY_SILENCE_MS } = this.options;
    const { request, body } = open;
    const { method = '', url = '' } = request;
    request.on('data', (chunk: Buffer) => {
      if (open.state !== 'receiving') return;
      if (body.length + chunk.length <= maxBodyBytes) body.add(chunk);
      else this.respond(open, refuseTooLarge(method, url));
    });
    onSilentBody(request, bodySilenceMs, () => {
      if (open.state === 'receiving') this.respond(open, silent);
    });
    request.on('end', () => {
      if (open.state !== 'receiving') return;
      open.state = 'waiting';
      open.turn.noteReceived({
        begin: () => void this.carryOut(open),
        drop: () => this.drop(open),
      });
    });
  }

  private drop(open: OpenRequest): void {
    this.open.delete(open);
    this.release(open);
  }

  private async carryOut(open: OpenRequest): Promise<void> {
    if (open.state !== 'waiting') return;
    if (this.isDraining) {
      this.refuse(open);
      return;
    }
    const body = open.body.take();
    if (!body) return;
    open.state = 'running';
    const { method = '', url = '' } = open.request;
    const answer = await this.options.answer({ method, url, body });
    open.body.release();
    if (open.state === 'running') this.respond(open, answer);
  }

  private refuse(open: OpenRequest): void {
    this.refused += 1;
    this.respond(open, this.options.stopping);
  }

  private respond(open: OpenRequest, { status, body, retryAfterS }: WholeResponse): void {
    const { request, response, turn, state } = open;
    // The rest of a request that is received in part is not read.
    const isClosing = state === 'receiving' || (this.isDraining && turn.isLast);
    open.state = 'answered';
    open.body.discard();
    if (response.destroyed) return;
    if (state === 'receiving') this.connections.lingerAfter(request);
    const bytes = Buffer.byteLength(body);
    response.writeHead(status, {
      'Content-Type': 'application/json',
      'Content-Length': String(bytes),
      ...(retryAfterS === undefined ? {} : { 'Retry-After': String(retryAfterS) }),
      ...(isClosing ? { Connection: 'close' } : {}),
    });
    response.end(body);
    this.holdAnswer(open, bytes);
    void this.connections.waitUntilSent(request, response);
  }

  /** Counts an answer until it is sent. As the largest holder it gives way: its caller doesn't read it. */
  private holdAnswer(open: OpenRequest, bytes: number): void {
    const { response, request } = open;
    if (response.writableFinished) return;
    open.answerHolder = this.options.memoryBudget?.hold({
      kind: 'answer',
      peer: () => request.socket.remoteAddress,
      end: () => request.socket.destroy(),
    });
    open.answerHolder?.resize(bytes);
  }

  /** The body of a request that is still carried out stays counted. */
  private release(open: OpenRequest): void {
    open.answerHolder?.release();
    if (open.state !== 'running') open.body.release();
  }
}
