/**
 * Reaches the leaders of replicated groups from any process: remembers who leads, follows hints,
 * and asks other members beside one that takes long. A member that has been asked is not asked again
 * while its answer is outstanding, and the answer counts however late it is: a leader that is behind
 * would otherwise do the same work again and again, and none of it in time. Commands may reach the log
 * twice when an answer is lost, so they must be idempotent.
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
  /** Addresses of members to begin with. */
  addresses: string[];
  /** How long one member may take before others are asked as well, in milliseconds. @default 700 */
  tryTimeoutMs?: number;
}

export interface GroupCallOptions {
  /** How long to try in all, in milliseconds. */
  timeoutMs: number;
  /**
   * How long one member may take before others are asked as well, in milliseconds. @default the
   * client's
   */
  tryTimeoutMs?: number;
  /** Longest pause between two members that are asked, in milliseconds. @default 50 */
  maximumPauseMs?: number;
}

/** The member that was the last to answer as a group's leader. */
export interface HeardLeader {
  address: string;
  /** How long ago it did, in milliseconds. */
  ageMs: number;
}

const DEFAULT_TRY_TIMEOUT_MS = 700;
const INITIAL_PAUSE_MS = 10;
export const DEFAULT_MAXIMUM_PAUSE_MS = 50;

export class GroupClient {
  private readonly leaders = new Map<string, string>();
  /** Leaders that have answered, by group, also where they may lead no more. */
  private readonly lastResponders = new Map<string, { address: string; atMs: number }>();
  private readonly tryTimeoutMs: number;
  private addresses: string[];
  private nextAddress = 0;
  /** When a member was last called as any of them (monotonic, milliseconds). */
  private readonly calledAt = new Map<string, number>();

  constructor(private readonly options: GroupClientOptions) {
    this.tryTimeoutMs = options.tryTimeoutMs ?? DEFAULT_TRY_TIMEOUT_MS;
    this.addresses = options.addresses;
  }

  /** Replaces the addresses of members; a leader that is known stays the first to be asked. */
  setAddresses(addresses: string[]): void {
    this.addresses = addresses;
  }

  /** Who answered last as the leader of a group, whether or not it still leads. */
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
   * Calls any method at the group's leader.
   * @param read tells a result from a redirect to another member
   * @throws LeaderRefusedError when the leader refused it until the time was over
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
   * Calls a method that every member answers: another one each time, the one that leads only where there is
   * no other.
   * @throws LinkError, TimeoutError, RemoteError when that member doesn't answer
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
      // While some are overdue, the pause is the wait for them.
      if (outcome) await attempts.pause(waitMs, (next) => hints.endsPause(next));
      // Others have nothing to add to what the leader says.
      address = rejectingLeader ?? this.nextAvailable(attempts);
      if (rejectingLeader !== undefined) waitMs = tryTimeoutMs;
    }
    throw failure.toError(step, group);
  }

  private noteLeader(group: string, address: string): void {
    this.leaders.set(group, address);
    this.lastResponders.set(group, { address, atMs: monotonicMs() });
  }

  /** The next member that may be asked, a connected one if there is any. */
  private nextAvailable(attempts: PendingAttempts<unknown>): string | undefined {
    return this.nextInRotation(this.addresses.filter((address) => !attempts.has(address)));
  }

  /** Nobody is called twice before all have been: one that is silent would hold the others up again and again. */
  private leastRecentlyCalled(addresses: readonly string[]): string | undefined {
    const connected = addresses.filter((address) => this.options.peers.isConnected(address));
    const candidates = connected.length > 0 ? connected : addresses;
    const calledAt = (address: string): number => this.calledAt.get(address) ?? 0;
    return [...candidates].sort((left, right) => calledAt(left) - calledAt(right))[0];
  }

  /** One of some members in turn, a connected one if there is any. */
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
  return new GroupUnavailableError('no member is known', { step, peer: group, retriable: true });
}
