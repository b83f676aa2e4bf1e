/**
 * An in-process network: calls the real handlers with encoded messages, but without sockets. Links can be cut
 * in one or both directions, and calls time out as on a real link.
 */
import type { PeerCaller, PeerNotifier } from '../../src/consensus/index.js';
import { TimeoutError, sleep } from '../../src/common/index.js';
import {
  type CallOptions,
  LinkError,
  type Method,
  type MethodRouter,
  RemoteError,
  decodeValue,
  encodeValue,
} from '../../src/wire/index.js';
import type { MeteredLinks } from './metered-links.js';
import type { MeteredProcessors } from './metered-processors.js';

const NOTICE_OPTIONS: CallOptions = { timeoutMs: 5_000 };

interface Caller {
  from: string;
  lane: string;
}

interface CallContext {
  step: string;
  peer: string;
  retriable: boolean;
}

export class LoopbackNetwork {
  private readonly routers = new Map<string, MethodRouter>();
  private readonly cuts = new Set<string>();
  /** Number of requests by receiver and method, with keys like `address method`. */
  readonly requests = new Map<string, number>();

  /**
   * @param delayMs one-way delay of every message, in milliseconds
   * @param links links with limited bandwidth @default unlimited
   * @param processors processors whose time messages take @default unlimited
   */
  constructor(
    private readonly delayMs: (from: string, to: string) => number = () => 0,
    private readonly links?: MeteredLinks,
    readonly processors?: MeteredProcessors,
  ) {}

  /** Serves the methods of a router at an address. */
  listen(address: string, router: MethodRouter): void {
    this.routers.set(address, router);
  }

  /** Stops serving at an address, as if its process had died. */
  remove(address: string): void {
    this.routers.delete(address);
  }

  /** Silently drops all messages from one address to another. */
  cut(from: string, to: string): void {
    this.cuts.add(`${from}>${to}`);
  }

  /** Drops all messages from and to an address. */
  isolate(address: string): void {
    this.cuts.add(`${address}>*`);
    this.cuts.add(`*>${address}`);
  }

  healAll(): void {
    this.cuts.clear();
  }

  /** @param lane distinguishes connections of one caller to the same peer */
  peersOf(ownAddress: string, lane = ''): PeerCaller {
    return {
      call: (address, method, request, options) =>
        this.callWithTimeout({ from: ownAddress, lane }, address, method, request, options),
      isConnected: (address) => this.routers.has(address),
    };
  }

  /** Sends notices from `ownAddress` over the connections of its calls. */
  notifierOf(ownAddress: string): PeerNotifier {
    const { call } = this.peersOf(ownAddress);
    return {
      notify: (address, method, request) => {
        // Delivery of notices is not confirmed.
        void call(address, method, request, NOTICE_OPTIONS).catch(() => undefined);
      },
    };
  }

  /** On metered links and processors the timeout covers the whole exchange, not only the handler. */
  private callWithTimeout<Request, Response>(
    caller: Caller,
    to: string,
    method: Method<Request, Response>,
    request: Request,
    options: CallOptions,
  ): Promise<Response> {
    const response = this.call(caller, to, method, request, options);
    if (!this.links && !this.processors) return response;
    const context = { step: method.name, peer: to, retriable: true };
    return this.withTimeout(response, options, context);
  }

  private async call<Request, Response>(
    { from, lane }: Caller,
    to: string,
    method: Method<Request, Response>,
    request: Request,
    options: CallOptions,
  ): Promise<Response> {
    const context = { step: method.name, peer: to, retriable: true };
    const kind = `${to} ${method.name}`;
    this.requests.set(kind, (this.requests.get(kind) ?? 0) + 1);
    const handler = this.routers.get(to)?.find(method.name);
    if (!handler) throw new LinkError('no handler at this address', context);
    const requestBytes = encodeValue(request);
    const connection = `${from}>${to}${lane}`;
    this.processors?.chargeSend(from);
    await this.links?.carry(from, to, connection, requestBytes.length);
    if (!(await this.carry(from, to))) return this.timeOut(options, context);
    await this.processors?.receive(to);
    let response: unknown;
    try {
      const answered = handler(decodeValue(requestBytes), { peerName: from });
      response = await this.withTimeout(Promise.resolve(answered), options, context);
    } catch (error) {
      if (error instanceof TimeoutError) throw error;
      const { name, message } = error as Error;
      throw new RemoteError(message, name, context);
    }
    const responseBytes = encodeValue(response);
    this.processors?.chargeSend(to);
    await this.links?.carry(to, from, connection, responseBytes.length);
    if (!(await this.carry(to, from))) return this.timeOut(options, context);
    await this.processors?.receive(from);
    return decodeValue<Response>(responseBytes);
  }

  private async carry(from: string, to: string): Promise<boolean> {
    const delayMs = this.delayMs(from, to);
    if (delayMs > 0) await sleep(delayMs);
    const isCut = [`${from}>${to}`, `${from}>*`, `*>${to}`].some((link) => this.cuts.has(link));
    return !isCut;
  }

  private async withTimeout<Response>(
    response: Promise<Response>,
    options: CallOptions,
    context: CallContext,
  ): Promise<Response> {
    const answered = new AbortController();
    try {
      return await Promise.race([response, this.timeOut(options, context, answered.signal)]);
    } finally {
      answered.abort();
    }
  }

  /** @param answered cancels the timer once the call has its response */
  private async timeOut(
    options: CallOptions,
    context: CallContext,
    answered?: AbortSignal,
  ): Promise<never> {
    await sleep(options.timeoutMs, answered);
    throw new TimeoutError('no response in time', context);
  }
}
