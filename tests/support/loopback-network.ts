/**
 * A network inside one process: the real handlers, with messages encoded and decoded as on the wire,
 * but without sockets. Links can be cut, one way or both, and
 * a call whose handler takes longer than the caller waits times out, as on a real link.
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
  /** Requests so far by receiver and method, as `address method`. */
  readonly requests = new Map<string, number>();

  /**
   * @param delayMs one-way delay of every message, in milliseconds
   * @param links what messages have to pass beside that; none by default
   */
  constructor(
    private readonly delayMs: (from: string, to: string) => number = () => 0,
    private readonly links?: MeteredLinks,
  ) {}

  /** Makes an address answer with a router's methods. */
  listen(address: string, router: MethodRouter): void {
    this.routers.set(address, router);
  }

  /** Makes an address answer no more, as when its process has died. */
  remove(address: string): void {
    this.routers.delete(address);
  }

  /** Drops all messages from one address to another, silently. */
  cut(from: string, to: string): void {
    this.cuts.add(`${from}>${to}`);
  }

  /** Cuts an address off from all others, both ways. */
  isolate(address: string): void {
    this.cuts.add(`${address}>*`);
    this.cuts.add(`*>${address}`);
  }

  healAll(): void {
    this.cuts.clear();
  }

  /** @param lane tells connections of one caller to the same peer apart */
  peersOf(ownAddress: string, lane = ''): PeerCaller {
    return {
      call: (address, method, request, options) =>
        this.callInTime({ from: ownAddress, lane }, address, method, request, options),
      isConnected: (address) => this.routers.has(address),
    };
  }

  /** Sends notices as `ownAddress`; they share its connections. */
  notifierOf(ownAddress: string): PeerNotifier {
    const { call } = this.peersOf(ownAddress);
    return {
      notify: (address, method, request) => {
        // Nobody is told whether a notice arrived.
        void call(address, method, request, NOTICE_OPTIONS).catch(() => undefined);
      },
    };
  }

  /** On metered links the way counts for the caller's limit as well as the handler. */
  private callInTime<Request, Response>(
    caller: Caller,
    to: string,
    method: Method<Request, Response>,
    request: Request,
    options: CallOptions,
  ): Promise<Response> {
    const answer = this.call(caller, to, method, request, options);
    if (!this.links) return answer;
    const context = { step: method.name, peer: to, retriable: true };
    return this.unlessLate(answer, options, context);
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
    if (!handler) throw new LinkError('nobody listens', context);
    const requestBytes = encodeValue(request);
    const connection = `${from}>${to}${lane}`;
    await this.links?.carry(from, to, connection, requestBytes.length);
    if (!(await this.carry(from, to))) return this.neverAnswers(options, context);
    let answer: unknown;
    try {
      const answered = handler(decodeValue(requestBytes), { peerName: from });
      answer = await this.unlessLate(Promise.resolve(answered), options, context);
    } catch (error) {
      if (error instanceof TimeoutError) throw error;
      const { name, message } = error as Error;
      throw new RemoteError(message, name, context);
    }
    const answerBytes = encodeValue(answer);
    await this.links?.carry(to, from, connection, answerBytes.length);
    if (!(await this.carry(to, from))) return this.neverAnswers(options, context);
    return decodeValue<Response>(answerBytes);
  }

  private async carry(from: string, to: string): Promise<boolean> {
    const delayMs = this.delayMs(from, to);
    if (delayMs > 0) await sleep(delayMs);
    const isCut = [`${from}>${to}`, `${from}>*`, `*>${to}`].some((link) => this.cuts.has(link));
    return !isCut;
  }

  private async unlessLate<Response>(
    answer: Promise<Response>,
    options: CallOptions,
    context: CallContext,
  ): Promise<Response> {
    const answered = new AbortController();
    try {
      return await Promise.race([answer, this.neverAnswers(options, context, answered.signal)]);
    } finally {
      answered.abort();
    }
  }

  /** @param answered ends the wait of a call that has its answer: many calls a second leave no timers behind */
  private async neverAnswers(
    options: CallOptions,
    context: CallContext,
    answered?: AbortSignal,
  ): Promise<never> {
    await sleep(options.timeoutMs, answered);
    throw new TimeoutError('no response in time', context);
  }
}
