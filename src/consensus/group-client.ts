/**
 * Sends requests to the leaders of replicated groups from any process. Remembers the leader,
 * follows redirects, and asks other members in parallel if a response is late. A member with a
 * pending request is not asked again, and its response counts however late it is; otherwise an
 * overloaded leader would repeat the same work without finishing any in time. Commands must be
 * idempotent: they may be logged twice if a response is lost.
 */
import { Backoff, monotonicMs } from '../common/index.js';
import { type CallOptions, type Method, decodeValue, encodeValue } from '../wire/index.js';
import { GroupUnavailableError } from './errors.js';
import { EXECUTE, type GroupRequest, type GroupResponse, QUERY } from './group-messages.js';
import { LeaderHints } from './leader-hints.js';
import {
  type Attempt,
  PendingAttempts,
  type AttemptOutcome,
  type TryResult,
  rejectionResult,
} from './open-tries.js';
import type { PeerCaller } from './peer-directory.js';
import { LeaderSearchFailure } from './leader-search-failure.js';

export interface GroupClientOptions {
  peers: PeerCaller;
  /** Initial member addresses. */
  addresses: string[];
  /** Time after which other members are asked in parallel, in milliseconds. @default 700 */
  tryTimeoutMs?: number;
}

export interface GroupCallOptions {
  /** Timeout of the whole call, in milliseconds. */
  timeoutMs: number;
  /**
   * Time after which other members are asked in parallel, in milliseconds. @default the client's
   * setting
   */
  tryTimeoutMs?: number;
  /** Maximum pause between two attempts, in milliseconds. @default 50 */
  maximumPauseMs?: number;
}

/** The member that last responded as leader of a group. */
export interface HeardLeader {
  address: string;
  /** Time since that response, in milliseconds. */
  ageMs: number;
}

const DEFAULT_TRY_TIMEOUT_MS = 700;
const INITIAL_PAUSE_MS = 10;
export const DEFAULT_MAXIMUM_PAUSE_MS = 50;

export class GroupClient {
  private readonly leaders = new Map<string, string>();
  /** Latest member that responded as leader, by group, whether or not it still leads. */
  private readonly lastResponders = new Map<string, { address: string; atMs: number }>();
  private readonly tryTimeoutMs: number;
  private addresses: string[];
  private nextAddress = 0;
  /** Time of the last `callAnyMember` request to each address (monotonic, milliseconds). */
  private readonly calledAt = new Map<string, number>();

  constructor(private readonly options: GroupClientOptions) {
    this.tryTimeoutMs = options.tryTimeoutMs ?? DEFAULT_TRY_TIMEOUT_MS;
    this.addresses = options.addresses;
  }

  /** Replaces the member addresses. A known leader is still tried first. */
  setAddresses(addresses: string[]): void {
    this.addresses = addresses;
  }

  /** The member that last responded as leader of a group, whether or not it still leads. */
  lastHeardLeader(group: string): HeardLeader | undefined {
    const responder = this.lastResponders.get(group);
    return responder && { address: responder.address, ageMs: monotonicMs() - responder.atMs };
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
   * Calls a method on the group's leader.
   * @param read converts a response into a result, a rejection or a redirect
   * @throws LeaderRefusedError if the leader rejected the request until the timeout
   * @throws GroupUnavailableError when no leader answered in time
   */
  callWithRedirect<Request, Response, Result>(
    group: string,
    method: Method<Request, Response>,
    request: Request,
    read: (response: Response) => TryResult<Result>,
    options: GroupCallOptions,
  ): Promise<Result> {
    return this.tryMembers<Result>(group, method.name, options, async (address, limits) =>
      read(await this.options.peers.call(address, method, request, limits)),
    );
  }

  /**
   * Calls a method that every member serves. Rotates through the members, and uses the leader only
   * if there is no other.
   * @throws LinkError, TimeoutError, RemoteError if the call to that member fails
   */
  async callAnyMember<Request, Response>(
    group: string,
    method: Method<Request, Response>,
    request: Request,
    limits: CallOptions,
  ): Promise<Response> {
    const leader = this.leaders.get(group);
    const others = this.addresses.filter((address) => address !== leader);
    const address = this.leastRecentlyCalled(others.length > 0 ? others : this.addresses);
    if (address === undefined) throw noAddressError(method.name, group);
    this.calledAt.set(address, monotonicMs());
    return this.options.peers.call(address, method, request, limits);
  }

  private async request<Body, Answer>(
    method: Method<GroupRequest, GroupResponse>,
    group: string,
    body: Body,
    options: GroupCallOptions,
  ): Promise<Answer> {
    const request: GroupRequest = { group, body: encodeValue(body) };
    return this.tryMembers<Answer>(group, method.name, options, async (address, limits) => {
      const response = await this.options.peers.call(address, method, request, limits);
      if (response.body) return { response: decodeValue<Answer>(response.body) };
      return rejectionResult(response);
    });
  }

  private async tryMembers<Response>(
    group: string,
    step: string,
    options: GroupCallOptions,
    attempt: Attempt<Response>,
  ): Promise<Response> {
    const deadline = monotonicMs() + options.timeoutMs;
    const tryTimeoutMs = options.tryTimeoutMs ?? this.tryTimeoutMs;
    const backoff = new Backoff({
      initialMs: INITIAL_PAUSE_MS,
      maximumMs: options.maximumPauseMs ?? DEFAULT_MAXIMUM_PAUSE_MS,
    });
    const attempts = new PendingAttempts(attempt, { deadline, silenceMs: tryTimeoutMs });
    const hints = new LeaderHints(attempts);
    const failure = new LeaderSearchFailure();
    let address = this.leaders.get(group) ?? this.nextAvailable(attempts);
    let waitMs = tryTimeoutMs;
    while (monotonicMs() < deadline) {
      if (address !== undefined) attempts.begin(address);
      else waitMs = backoff.nextDelayMs();
      const outcome = await attempts.next(Math.min(waitMs, deadline - monotonicMs()));
      if (outcome && 'response' in outcome) {
        this.noteLeader(group, outcome.address);
        return outcome.response;
      }
      if (outcome) failure.note(outcome);
      const hint = outcome && hints.follow(outcome);
      if (hint !== undefined) {
        address = hint;
        waitMs = tryTimeoutMs;
        continue;
      }
      const rejectingLeader = rejectingMember(outcome);
      if (rejectingLeader === undefined) this.leaders.delete(group);
      else this.noteLeader(group, rejectingLeader);
      hints.notePause();
      waitMs = Math.min(backoff.nextDelayMs(), Math.max(0, deadline - monotonicMs()));
      // Without an outcome, waiting for the pending attempts serves as the pause.
      if (outcome) await attempts.pause(waitMs, (next) => hints.endsPause(next));
      // While the leader rejects the request, other members cannot help.
      address = rejectingLeader ?? this.nextAvailable(attempts);
      if (rejectingLeader !== undefined) waitMs = tryTimeoutMs;
    }
    throw failure.toError(step, group);
  }

  private noteLeader(group: string, address: string): void {
    this.leaders.set(group, address);
    this.lastResponders.set(group, { address, atMs: monotonicMs() });
  }

  /** Next member without a pending request, preferably a connected one. */
  private nextAvailable(attempts: PendingAttempts<unknown>): string | undefined {
    return this.nextInRotation(this.addresses.filter((address) => !attempts.has(address)));
  }

  /** The least recently called member, so that an unresponsive one is not called repeatedly. */
  private leastRecentlyCalled(addresses: readonly string[]): string | undefined {
    const connected = addresses.filter((address) => this.options.peers.isConnected(address));
    const candidates = connected.length > 0 ? connected : addresses;
    const calledAt = (address: string): number => this.calledAt.get(address) ?? 0;
    return [...candidates].sort((left, right) => calledAt(left) - calledAt(right))[0];
  }

  /** Next address in round-robin order, preferably a connected one. */
  private nextInRotation(addresses: readonly string[]): string | undefined {
    if (addresses.length === 0) return undefined;
    const first = this.nextAddress++ % addresses.length;
    const rotated = [...addresses.slice(first), ...addresses.slice(0, first)];
    return rotated.find((address) => this.options.peers.isConnected(address)) ?? rotated[0];
  }
}

function rejectingMember(outcome: AttemptOutcome<unknown> | undefined): string | undefined {
  return outcome && 'refused' in outcome ? outcome.address : undefined;
}

function noAddressError(step: string, group: string): GroupUnavailableError {
  return new GroupUnavailableError('no member address is known', {
    step,
    peer: group,
    retriable: true,
  });
}
