/**
 * Reaches the leaders of replicated groups from any process: remembers who leads, follows hints,
 * and goes on to other members when one does not answer. Commands may reach the log twice when an
 * answer is lost, so they must be idempotent.
 */
import { Backoff, LedgegaugeError, describeError, monotonicMs, sleep } from '../common/index.js';
import { type Method, decodeValue, encodeValue } from '../wire/index.js';
import { EXECUTE, type GroupRequest, type GroupResponse, QUERY } from './group-messages.js';
import type { PeerCaller } from './peer-directory.js';

/** The group's leader could not be reached in time; a command may or may not have been committed. */
export class GroupUnavailableError extends LedgegaugeError {}

export interface GroupClientOptions {
  peers: PeerCaller;
  /** Addresses of members to begin with. */
  addresses: string[];
  /** How long one try may take before another member is asked, in milliseconds. @default 700 */
  tryTimeoutMs?: number;
}

export interface GroupCallOptions {
  /** How long to try in all, in milliseconds. */
  timeoutMs: number;
  /** How long one member may take, in milliseconds. @default the client's */
  tryTimeoutMs?: number;
}

const DEFAULT_TRY_TIMEOUT_MS = 700;

export class GroupClient {
  private readonly leaders = new Map<string, string>();
  private readonly tryTimeoutMs: number;
  private addresses: string[];
  private nextAddress = 0;

  constructor(private readonly options: GroupClientOptions) {
    this.tryTimeoutMs = options.tryTimeoutMs ?? DEFAULT_TRY_TIMEOUT_MS;
    this.addresses = options.addresses;
  }

  /** Replaces the addresses of members; a leader that is known stays the first to be asked. */
  setAddresses(addresses: string[]): void {
    this.addresses = addresses;
  }

  /** @throws GroupUnavailableError when no leader answered in time */
  execute<Command, Result>(
    group: string,
    command: Command,
    options: GroupCallOptions,
  ): Promise<Result> {
    return this.request(EXECUTE, group, command, options);
  }

  /** A linearizable read. @throws GroupUnavailableError when no leader answered in time */
  query<Query, Answer>(group: string, query: Query, options: GroupCallOptions): Promise<Answer> {
    return this.request(QUERY, group, query, options);
  }

  /**
   * Calls any method at the group's leader.
   * @param read tells a result from a redirect to another member
   * @throws GroupUnavailableError when no leader answered in time
   */
  callWithRedirect<Request, Response, Result>(
    group: string,
    method: Method<Request, Response>,
    request: Request,
    read: (response: Response) => TryResult<Result>,
    options: GroupCallOptions,
  ): Promise<Result> {
    return this.tryMembers<Result>(group, method.name, options, async (address, timeoutMs) =>
      read(await this.options.peers.call(address, method, request, { timeoutMs })),
    );
  }

  private async request<Body, Answer>(
    method: Method<GroupRequest, GroupResponse>,
    group: string,
    body: Body,
    options: GroupCallOptions,
  ): Promise<Answer> {
    const request: GroupRequest = { group, body: encodeValue(body) };
    return this.tryMembers<Answer>(group, method.name, options, async (address, timeoutMs) => {
      const answer = await this.options.peers.call(address, method, request, { timeoutMs });
      if (answer.body) return { response: decodeValue<Answer>(answer.body) };
      return { leaderAddress: answer.leaderAddress, refusal: answer.refusal };
    });
  }

  private async tryMembers<Response>(
    group: string,
    step: string,
    options: GroupCallOptions,
    attempt: (address: string, timeoutMs: number) => Promise<TryResult<Response>>,
  ): Promise<Response> {
    const deadline = monotonicMs() + options.timeoutMs;
    const backoff = new Backoff({ initialMs: 10, maximumMs: 50 });
    let lastProblem = 'no member asked';
    let address: string | undefined = this.leaders.get(group) ?? this.anyAddress();
    while (monotonicMs() < deadline) {
      if (address === undefined) {
        await sleep(Math.min(backoff.nextDelayMs(), Math.max(0, deadline - monotonicMs())));
        address = this.anyAddress();
        continue;
      }
      const timeoutMs = Math.min(
        deadline - monotonicMs(),
        options.tryTimeoutMs ?? this.tryTimeoutMs,
      );
      try {
        const result = await attempt(address, timeoutMs);
        if ('response' in result) {
          this.leaders.set(group, address);
          return result.response;
        }
        lastProblem = result.refusal ?? 'not the leader';
        const hint = result.leaderAddress;
        const isNews = hint !== undefined && hint !== address;
        address = isNews ? hint : this.anyAddress();
        if (isNews) continue;
      } catch (error) {
        lastProblem = describeError(error);
        address = this.anyAddress();
      }
      this.leaders.delete(group);
      await sleep(Math.min(backoff.nextDelayMs(), Math.max(0, deadline - monotonicMs())));
    }
    throw new GroupUnavailableError(`no leader answered: ${lastProblem}`, {
      step,
      peer: group,
      retriable: true,
    });
  }

  private anyAddress(): string | undefined {
    const { addresses } = this;
    const { peers } = this.options;
    if (addresses.length === 0) return undefined;
    for (let tries = 0; tries < addresses.length; tries += 1) {
      const address = addresses[this.nextAddress++ % addresses.length]!;
      if (peers.isConnected(address)) return address;
    }
    return addresses[this.nextAddress++ % addresses.length]!;
  }
}

/** What one member said: the result, or where else to ask. */
export type TryResult<Response> =
  { response: Response } | { leaderAddress: string | undefined; refusal: string | undefined };
