/** HTTP server on top of node:http with path patterns, problem documents and planned stops. */
import { type IncomingMessage, type Server, type ServerResponse, createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { Deferred, describeError, monotonicMs, sleep } from '../common/index.js';
import {
  type DrainableServer,
  GracefulShutdown,
  type ShutdownTiming,
  drainServer,
} from '../shutdown/index.js';
import { HEAD_TIMEOUTS } from './connection-limits.js';
import { ActiveExchange } from './active-exchange.js';
import type { HttpRouter, MatchedRoute } from './http-router.js';
import {
  HttpProblem,
  type RequestOutcome,
  badRequestProblem,
  interruptedProblem,
  shuttingDownProblem,
} from './problem.js';
import { onHead, sendProblem } from './responses.js';
import { ServerConnections, type ServerConnectionsOptions } from './server-connections.js';

export interface HttpServerOptions {
  host: string;
  port: number;
  router: HttpRouter;
  /** Called for unexpected errors, which are answered with status 500. */
  onError?: (description: string) => void;
  /** Time frame of the process's stop. @default one of the server's own */
  shutdown?: GracefulShutdown;
  /** Called for each request that this server answers by itself because of the stop. */
  onEndedByShutdown?: (outcome: RequestOutcome) => void;
  connections?: ServerConnectionsOptions;
}

export interface DrainRequest {
  /** @default the timing of a grace time of 60 s */
  timing?: ShutdownTiming;
  /** Ends the work of handlers at the end of the grace time, so that they send final responses. */
  interruptCalls?: () => Promise<void>;
}

const HTTP_INTERNAL_ERROR = 500;
const HTTP_NOT_FOUND = 404;
const KEEP_ALIVE_TIMEOUT_MS = 30_000;
/** Time for requests that clients sent before they learned that the server is draining, in milliseconds. */
const NOTICE_MS = 600;
/** Time before the end of the grace time in which the last responses are sent and the process ends, in milliseconds. */
const CLOSING_MS = 1_500;
const DEFAULT_GRACE_MS = 60_000;
/** Maximum time in which the last requests are refused, in milliseconds. */
const MAX_REFUSAL_MS = 500;

/** @param graceMs time from the request to stop until the process has ended, in milliseconds */
export function shutdownTimingOf(graceMs: number): ShutdownTiming {
  return { graceMs, noticeMs: NOTICE_MS, closingMs: CLOSING_MS };
}

export class HttpServer implements DrainableServer {
  readonly connections: ServerConnections;
  private readonly active = new Set<ActiveExchange>();
  private readonly shutdown: GracefulShutdown;

  private constructor(
    private readonly server: Server,
    private readonly options: HttpServerOptions,
  ) {
    this.shutdown = options.shutdown ?? new GracefulShutdown();
    this.connections = new ServerConnections(server, options.connections);
  }

  static async start(options: HttpServerOptions): Promise<HttpServer> {
    const server = createServer({
      ...HEAD_TIMEOUTS,
      keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
    });
    const httpServer = new HttpServer(server, options);
    server.on('request', (request, response) => httpServer.receive(request, response));
    const listening = new Deferred<void>();
    server.once('error', (error) => listening.reject(error));
    server.listen(options.port, options.host, () => listening.resolve());
    await listening.promise;
    return httpServer;
  }

  get port(): number {
    return (this.server.address() as AddressInfo).port;
  }

  /** Number of requests whose response is not sent, including pipelined ones that wait for an earlier one. */
  get activeRequests(): number {
    return this.active.size + this.connections.waitingRequests;
  }

  /**
   * Serves requests that can end within the grace time, refuses the others as not run, and answers those under way at
   * its end. Only a response that has begun is broken off.
   * @returns the number of requests whose response was not sent completely
   */
  async drain({
    timing = shutdownTimingOf(DEFAULT_GRACE_MS),
    interruptCalls,
  }: DrainRequest = {}): Promise<number> {
    const { shutdown } = this;
    shutdown.begin(timing);
    return drainServer({
      server: this,
      shutdown,
      interruptCalls: async () => {
        await interruptCalls?.();
        await this.endRequests();
      },
    });
  }

  /** Responses close their connections from the beginning of the shutdown. */
  startDraining(): void {}

  refuseLateRequests(): void {
    for (const exchange of this.active) {
      if (exchange.isReceiving && !this.canEndInTime(exchange.route)) void this.refuse(exchange);
    }
  }

  close(): void {
    this.connections.close();
  }

  private canEndInTime(route: MatchedRoute): boolean {
    if (!this.shutdown.hasBegun) return true;
    return this.shutdown.allows(monotonicMs() + (route.options.maxDurationMs?.() ?? 0));
  }

  /** Begins to handle the request once its head is received and the responses before it are sent. */
  private receive(request: IncomingMessage, response: ServerResponse): void {
    response.on('error', () => undefined);
    const turn = this.connections.enter(request, response);
    const begin = (): void => {
      // The response before has closed the connection.
      if (!request.socket.writable) return;
      onHead(response, () => {
        if (this.shutdown.hasBegun && turn.isLast) response.setHeader('connection', 'close');
      });
      this.serve(request, response);
    };
    turn.noteReceived({ begin, drop: () => undefined });
  }

  private serve(request: IncomingMessage, response: ServerResponse): void {
    const { route, query } = this.findRoute(request);
    const { parameters } = route;
    const exchange = new ActiveExchange({ request, response, parameters, query }, route);
    this.active.add(exchange);
    void exchange.waitUntilEnded(this.connections).then(() => this.active.delete(exchange));
    if (this.canEndInTime(route)) void this.handle(exchange);
    else void this.refuse(exchange);
  }

  private findRoute(request: IncomingMessage): { route: MatchedRoute; query: URLSearchParams } {
    try {
      const { pathname, searchParams } = new URL(request.url ?? '/', 'http://localhost');
      const route = this.options.router.find(request.method ?? 'GET', pathname);
      return { route: route ?? noRoute(NOT_FOUND), query: searchParams };
    } catch (error) {
      return { route: noRoute(error), query: new URLSearchParams() };
    }
  }

  private async handle(active: ActiveExchange): Promise<void> {
    const { exchange, route } = active;
    try {
      await route.handler(exchange);
    } catch (error) {
      if (!active.isTakenOver) this.sendError(exchange.response, error);
    } finally {
      // Discards the rest of a rejected body, which would otherwise stall the connection.
      exchange.request.resume();
      if (!active.isTakenOver) active.noteAnswered();
    }
  }

  /** Answers a request that was not handled, or whose handler has not received its body. */
  private async refuse(active: ActiveExchange): Promise<void> {
    active.takeOver();
    const { exchange, route } = active;
    const refusal = (
      route.options.refuse?.(exchange) ?? Promise.resolve(shuttingDownProblem())
    ).catch((error: unknown) => this.problemOf(error));
    this.answer(active, await refusal);
  }

  /** Answers the requests that are under way when the grace time ends. */
  private async endRequests(): Promise<void> {
    const receiving = [...this.active].filter((exchange) => exchange.isReceiving);
    const refusals = Promise.all(receiving.map((exchange) => this.refuse(exchange)));
    for (const exchange of this.active) {
      if (exchange.isTakenOver || exchange.hasHead) continue;
      exchange.takeOver();
      this.answer(exchange, interruptedProblem());
    }
    await Promise.race([refusals, sleep(MAX_REFUSAL_MS)]);
    for (const exchange of receiving) this.answer(exchange, interruptedProblem());
  }

  /** Sends the answer in place of the handler, unless there is one. */
  private answer(active: ActiveExchange, error: HttpProblem): void {
    if (active.hasHead) return;
    const { request, response } = active.exchange;
    // What is still to come of the body would be taken for the next request.
    if (!request.complete) response.setHeader('connection', 'close');
    sendProblem(response, error);
    request.resume();
    this.options.onEndedByShutdown?.(error.problem.outcome);
    active.noteAnswered();
  }

  private sendError(response: ServerResponse, error: unknown): void {
    if (response.headersSent) response.destroy();
    else sendProblem(response, this.problemOf(error));
  }

  private problemOf(error: unknown): HttpProblem {
    if (error instanceof HttpProblem) return error;
    this.options.onError?.(describeError(error));
    return new HttpProblem({
      status: HTTP_INTERNAL_ERROR,
      code: 'internal_error',
      detail: 'an unexpected error',
      outcome: 'unknown',
      sendAgain: true,
    });
  }
}

const NOT_FOUND = badRequestProblem('no such path', 'not_found', HTTP_NOT_FOUND);

function noRoute(error: unknown): MatchedRoute {
  return { handler: () => Promise.reject(error), options: {}, parameters: {} };
}
