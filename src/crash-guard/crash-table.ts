/**
 * Back ends that ended under requests, and the permits to send such requests again, in the memory of the directory's leader.
 * Each lost response counts as an end of its back end until the back end is heard of again. Does no I/O and takes the current
 * time as an argument, so that tests can simulate time.
 */
import type { CrashLimits } from './crash-limits.js';
import type { RequestKey } from './request-key.js';

/** A response that was lost, so that its back end may have ended. */
export interface LostResponse {
  key: RequestKey;
  backend: string;
  /** When the request was sent (leader's monotonic clock, milliseconds). */
  sentAt: number;
  /** Whether unrelated callers may send equal requests, because the request names no program. */
  mayBeShared: boolean;
}

export interface PermitRequest {
  key: RequestKey;
  /** Gateway that will send the request. */
  gateway: string;
  /** Ids of the back ends that it may be sent to, the preferred one first; at least one. */
  candidates: readonly string[];
  /** When the send ends at the latest (leader's monotonic clock, milliseconds). */
  expiresAt: number;
}

export type PermitDecision =
  /** The permit is undefined if nothing is known of the request any more. */
  | { kind: 'granted'; backend: string; permit?: number }
  /** Another send of the request is in progress. */
  | { kind: 'busy' }
  /** So many back ends have ended under the request that it must not be sent again. */
  | { kind: 'blocked' };

/** How a send ended whose response was not lost. */
export type SendOutcome =
  /** The back end answered and is alive: the request does not end back ends. */
  | 'completed'
  /** The request was not sent, or the sender stopped it. */
  | 'stopped';

/** One request, for operators. */
export interface CrashRecord {
  key: RequestKey;
  /** Ids of the back ends that ended. */
  backends: string[];
  isBlocked: boolean;
  /** Time since the first and the last of these ends, in milliseconds. */
  firstEndAgeMs: number;
  lastEndAgeMs: number;
}

/**
 * Heartbeats after a lost response that show that its back end is alive. A single one may have been delayed on its way since
 * before the back end ended.
 */
const PROVING_HEARTBEATS = 2;

interface BackendEnd {
  lostAt: number;
  /** When the response was lost, or the last heartbeat after it arrived. */
  heardAt: number;
  heartbeats: number;
}

interface SendPermit {
  id: number;
  gateway: string;
  backend: string;
  expiresAt: number;
}

interface SuspectRequest {
  ends: Map<string, BackendEnd>;
  firstEndAt: number;
  lastEndAt: number;
  permit?: SendPermit;
}

export interface CrashTableOptions {
  limits: CrashLimits;
  /** Minimum time between two heartbeats that count, in milliseconds. */
  heartbeatSpacingMs: number;
  /** Whether a gateway was heard of lately; permits of others lapse. */
  isGatewayActive: (gateway: string, now: number) => boolean;
  /** Called when the ends under a request have changed. */
  onChange: (key: RequestKey) => void;
}

export class CrashTable {
  private readonly requests = new Map<RequestKey, SuspectRequest>();
  private readonly keysByBackend = new Map<string, Set<RequestKey>>();
  private lastPermit = 0;

  constructor(private readonly options: CrashTableOptions) {}

  get size(): number {
    return this.requests.size;
  }

  get blockedCount(): number {
    return [...this.requests.values()].filter((request) => this.isBlocked(request)).length;
  }

  /** Ids of the back ends that ended under a request. */
  endsOf(key: RequestKey): string[] {
    return [...(this.requests.get(key)?.ends.keys() ?? [])];
  }

  keys(): Iterable<RequestKey> {
    return this.requests.keys();
  }

  /**
   * Counts a lost response. Idempotent.
   * @param permit the permit of the send, if it had one
   */
  noteLost(
    { key, backend, sentAt, mayBeShared }: LostResponse,
    now: number,
    permit?: number,
  ): void {
    const known = this.requests.get(key);
    if (known?.permit && known.permit.id === permit) delete known.permit;
    // Equal requests of unrelated callers may lose several back ends to one cause, such as the loss of a zone. Only a request
    // that is sent after an end and loses another back end is known to be the cause.
    const isSameCause = mayBeShared && known !== undefined && sentAt < known.lastEndAt;
    if (isSameCause && known.ends.size > 0 && !known.ends.has(backend)) return;
    this.addEnd(key, backend, now);
  }

  requestPermit(request: PermitRequest, now: number): PermitDecision {
    const { key, gateway, expiresAt, candidates } = request;
    const suspect = this.requests.get(key);
    if (suspect) this.lapsePermit(key, suspect, now);
    if (!suspect || suspect.ends.size === 0) return { kind: 'granted', backend: candidates[0]! };
    if (this.isBlocked(suspect)) return { kind: 'blocked' };
    if (suspect.permit) return { kind: 'busy' };
    const backend = this.leastSuspect(key, candidates);
    this.lastPermit += 1;
    suspect.permit = { id: this.lastPermit, gateway, backend, expiresAt };
    return { kind: 'granted', backend, permit: this.lastPermit };
  }

  /** @param permit the permit of the send, if it had one */
  noteOutcome(key: RequestKey, outcome: SendOutcome, permit?: number): void {
    const suspect = this.requests.get(key);
    if (!suspect) return;
    if (outcome === 'completed') this.remove(key);
    else if (suspect.permit?.id === permit) delete suspect.permit;
  }

  /** Withdraws the ends of a back end that is alive. */
  noteHeartbeat(backend: string, now: number): void {
    for (const key of [...(this.keysByBackend.get(backend) ?? [])]) {
      const end = this.requests.get(key)!.ends.get(backend)!;
      if (now - end.heardAt < this.options.heartbeatSpacingMs) continue;
      end.heardAt = now;
      end.heartbeats += 1;
      if (end.heartbeats >= PROVING_HEARTBEATS) this.removeEnd(key, backend);
    }
  }

  /**
   * Withdraws the end of a back end that has answered another request.
   * @param sentAt when that request was sent
   */
  noteAlive(key: RequestKey, backend: string, sentAt: number): void {
    const end = this.requests.get(key)?.ends.get(backend);
    if (end && end.lostAt < sentAt) this.removeEnd(key, backend);
  }

  /** Drops requests whose ends no longer count, and permits that have lapsed. */
  expire(now: number): void {
    for (const [key, suspect] of [...this.requests]) {
      this.lapsePermit(key, suspect, now);
      if (now - suspect.lastEndAt > this.options.limits.keepMs) this.remove(key);
    }
  }

  /** @returns whether the request was known */
  remove(key: RequestKey): boolean {
    const suspect = this.requests.get(key);
    if (!suspect) return false;
    for (const backend of suspect.ends.keys()) this.forgetBackend(key, backend);
    this.requests.delete(key);
    this.options.onChange(key);
    return true;
  }

  clear(): void {
    this.requests.clear();
    this.keysByBackend.clear();
  }

  list(now: number): CrashRecord[] {
    return [...this.requests].map(([key, suspect]) => ({
      key,
      backends: [...suspect.ends.keys()],
      isBlocked: this.isBlocked(suspect),
      firstEndAgeMs: now - suspect.firstEndAt,
      lastEndAgeMs: now - suspect.lastEndAt,
    }));
  }

  private isBlocked({ ends }: SuspectRequest): boolean {
    return ends.size >= this.options.limits.maxEnds;
  }

  private addEnd(key: RequestKey, backend: string, now: number): void {
    let suspect = this.requests.get(key);
    if (!suspect) {
      this.makeRoom();
      suspect = { ends: new Map(), firstEndAt: now, lastEndAt: now };
      this.requests.set(key, suspect);
    }
    const isNew = !suspect.ends.has(backend);
    suspect.ends.set(backend, { lostAt: now, heardAt: now, heartbeats: 0 });
    if (!isNew) return;
    suspect.lastEndAt = now;
    const keys = this.keysByBackend.get(backend) ?? new Set();
    this.keysByBackend.set(backend, keys.add(key));
    this.options.onChange(key);
  }

  private removeEnd(key: RequestKey, backend: string): void {
    const suspect = this.requests.get(key)!;
    if (suspect.ends.size === 1 && !suspect.permit) {
      this.remove(key);
      return;
    }
    suspect.ends.delete(backend);
    this.forgetBackend(key, backend);
    this.options.onChange(key);
  }

  private forgetBackend(key: RequestKey, backend: string): void {
    const keys = this.keysByBackend.get(backend);
    keys?.delete(key);
    if (keys?.size === 0) this.keysByBackend.delete(backend);
  }

  /** A send whose outcome its gateway did not tell in time may have ended its back end. */
  private lapsePermit(key: RequestKey, suspect: SuspectRequest, now: number): void {
    const { permit } = suspect;
    if (!permit) return;
    const isHeld = now < permit.expiresAt && this.options.isGatewayActive(permit.gateway, now);
    if (isHeld) return;
    delete suspect.permit;
    this.addEnd(key, permit.backend, now);
  }

  /** The candidate with the fewest other suspect requests in progress, weighted by their ends. */
  private leastSuspect(key: RequestKey, candidates: readonly string[]): string {
    const weights = new Map<string, number>();
    for (const [other, { permit, ends }] of this.requests) {
      if (!permit || other === key) continue;
      weights.set(permit.backend, (weights.get(permit.backend) ?? 0) + ends.size);
    }
    const weightOf = (backend: string): number => weights.get(backend) ?? 0;
    return candidates.reduce((best, backend) =>
      weightOf(backend) < weightOf(best) ? backend : best,
    );
  }

  /** Evicts the oldest request with a single end, or the oldest of all. */
  private makeRoom(): void {
    if (this.requests.size < this.options.limits.maxRequests) return;
    const oldest = [...this.requests].find(([, { ends }]) => ends.size <= 1);
    this.remove(oldest?.[0] ?? this.requests.keys().next().value!);
  }
}
