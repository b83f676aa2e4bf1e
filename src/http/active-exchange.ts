/** A request that is handled or refused, until its response is sent. */
import { Deferred } from '../common/index.js';
import type { HttpExchange, MatchedRoute } from './http-router.js';
import { abandonBody, isReadingBody } from './json-body.js';
import type { ServerConnections } from './server-connections.js';

export class ActiveExchange {
  private readonly answered = new Deferred<void>();
  private isServerAnswering = false;

  constructor(
    readonly exchange: HttpExchange,
    readonly route: MatchedRoute,
  ) {}

  /** Whether the handler waits for the body, so that the request has had no effect. */
  get isReceiving(): boolean {
    return !this.isServerAnswering && !this.hasHead && isReadingBody(this.exchange.request);
  }

  /** Whether the server answers the request in place of the handler. */
  get isTakenOver(): boolean {
    return this.isServerAnswering;
  }

  /** Whether the response has begun. */
  get hasHead(): boolean {
    return this.exchange.response.headersSent;
  }

  /** From now on the server answers the request, and what its handler does is ignored. */
  takeOver(): void {
    this.isServerAnswering = true;
    abandonBody(this.exchange.request);
  }

  /** Must be called once the response is written, or the handler has left it. */
  noteAnswered(): void {
    this.answered.resolve();
  }

  /** Resolves once the response is sent or its connection is closed, and the handler has ended or was replaced. */
  async waitUntilEnded(connections: ServerConnections): Promise<void> {
    await this.answered.promise;
    const { request, response } = this.exchange;
    // A handler may leave a response without an end, for example to a caller that has left.
    if (response.writableEnded) await connections.waitUntilSent(request, response);
  }
}
