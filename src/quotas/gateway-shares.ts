/**
 * A gateway's shares of the tenants' limits: which calls may go on, what to ask the leader for, and when a caller that
 * is refused may come back. No input or output, and times are given, so that it can be tested on simulated time.
 */
import type { LogFields } from '../observability/index.js';
import type { GrantedShare, HeldShare } from './messages.js';
import type { QuotaShare } from './quota-budget.js';
import { isSparse } from './share-allocation.js';
import { TokenBucket } from './token-bucket.js';

/** What a gateway knows of one tenant. */
interface GatewayShare {
  bucket: TokenBucket;
  /** Calls of the last seconds, each counted less the older it is. */
  recentCalls: number;
  recentAt: number;
  waiting: number;
  /** Until then the leader has no token (monotonic, milliseconds). */
  scarceUntil: number;
  /** What the tenant asks for, as a multiple of its limit, as the leader last said. */
  pressure: number;
  /** The token that the last refused caller was told to come back for (monotonic, milliseconds). */
  promisedAt: number;
}

/** Demand is what came in about so many seconds: a single call is no demand for a share. */
const DEMAND_WINDOW_S = 3;
/** A tenant with less than this a second is forgotten, and its share given back. */
const LEAST_DEMAND_PER_SECOND = 0.05;
/** A bucket is low when it holds less than what comes in so many seconds. */
const LOW_S = 0.25;
/** While its tenant asks for more than its limit, this part of a bucket is kept for programs that have begun. */
const BEGUN_PROGRAMS_SHARE = 0.5;
/** Soonest and latest time after which a refused caller is told to come back, in milliseconds. */
const SOONEST_RETURN_MS = 150;
const LATEST_RETURN_MS = 2_000;
const MS_PER_SECOND = 1_000;
const NO_SHARE: QuotaShare = { ratePerSecond: 0, capacity: 0 };

export class GatewayShares {
  private readonly shares = new Map<string, GatewayShare>();
  private leaseEndsAt = Number.NEGATIVE_INFINITY;

  /** Notes a call that a tenant asks for. */
  noteCall(tenant: string, now: number): void {
    const share = this.shareOf(tenant, now);
    share.recentCalls = decayed(share, now) + 1;
    share.recentAt = now;
  }

  /**
   * Takes a token for a call.
   * @param beginsProgram whether the call is the first of a program: where tokens are scarce, those that have begun
   *   go first, since only whole programs are worth something
   */
  take(tenant: string, beginsProgram: boolean, now: number): boolean {
    if (now >= this.leaseEndsAt) return false;
    const share = this.shareOf(tenant, now);
    return share.bucket.take(now, reserveOf(share, beginsProgram));
  }

  /** A call that had taken a token has not run. */
  giveBack(tenant: string, now: number): void {
    this.shares.get(tenant)?.bucket.add(1, now);
  }

  /** @param change +1 when a call begins to wait for a token, -1 when it does no more */
  noteWaiting(tenant: string, change: 1 | -1, now: number): void {
    this.shareOf(tenant, now).waiting += change;
  }

  /** Whether the leader should be asked before the regular time. */
  isLow(tenant: string, now: number): boolean {
    const share = this.shareOf(tenant, now);
    const demand = demandOf(share, now);
    return !isSparse(demand) && share.bucket.level(now) < Math.max(1, demand * LOW_S);
  }

  /** Whether the tenant asks for more than its limit, as the leader last said. */
  isScarce(tenant: string, now: number): boolean {
    const share = this.shares.get(tenant);
    return share !== undefined && now < share.scarceUntil;
  }

  /** Whether calls wait for tokens. */
  get isAnyWaiting(): boolean {
    return [...this.shares.values()].some(({ waiting }) => waiting > 0);
  }

  /** Whether shares may be used at all: they are given for a time. */
  isLeased(now: number): boolean {
    return now < this.leaseEndsAt;
  }

  /**
   * When a caller that is refused had better come back, in milliseconds: each is told a token of its own, so that
   * callers come back at the rate at which tokens do.
   */
  retryAfterMs(tenant: string, now: number): number {
    const share = this.shareOf(tenant, now);
    const { ratePerSecond } = share.bucket.share;
    const gapMs = ratePerSecond > 0 ? MS_PER_SECOND / ratePerSecond : LATEST_RETURN_MS;
    const soonest = now + SOONEST_RETURN_MS;
    const promised = Math.max(soonest, share.promisedAt + gapMs);
    share.promisedAt = Math.min(promised, now + LATEST_RETURN_MS);
    return share.promisedAt - now;
  }

  /** What is held of a tenant's limit and asked of it here, for the log of a refusal. */
  describe(tenant: string, now: number): LogFields {
    const share = this.shareOf(tenant, now);
    return {
      tokens: round(share.bucket.level(now)),
      shareRate: round(share.bucket.share.ratePerSecond),
      demand: round(demandOf(share, now)),
      pressure: round(share.pressure),
    };
  }

  /** All that is held, for the leader; what is hardly used is given back. */
  held(now: number): HeldShare[] {
    if (!this.isLeased(now)) this.dropShares(now);
    for (const [tenant, share] of this.shares) {
      const isUsed = demandOf(share, now) >= LEAST_DEMAND_PER_SECOND || share.waiting > 0;
      if (!isUsed) this.shares.delete(tenant);
    }
    return [...this.shares].map(([tenant, share]) => heldOf(tenant, share, now));
  }

  /** What is held of those tenants whose calls wait, or will soon: all that a question between two regular ones names. */
  heldByLowTenants(now: number): HeldShare[] {
    const short = [...this.shares].filter(
      ([tenant, { waiting }]) => waiting > 0 || this.isLow(tenant, now),
    );
    return short.map(([tenant, share]) => heldOf(tenant, share, now));
  }

  /** @param leaseEndsAt when the shares are over (monotonic, milliseconds) */
  applyGrants(granted: readonly GrantedShare[], leaseEndsAt: number, now: number): void {
    this.leaseEndsAt = Math.max(this.leaseEndsAt, leaseEndsAt);
    for (const grant of granted) {
      const { tenant, ratePerSecond, capacity, tokens, scarceForMs, pressure } = grant;
      // What was given back meanwhile is not taken up: the leader was told that it is not held.
      const share = this.shares.get(tenant);
      if (!share) continue;
      share.bucket.reshape({ ratePerSecond, capacity }, now);
      share.bucket.add(tokens, now);
      share.scarceUntil = now + scarceForMs;
      share.pressure = pressure;
    }
  }

  /** A limit was lowered: what is held of it is lowered at once. @param factor of the limit before, below 1 */
  scaleDown(tenant: string, factor: number, now: number): void {
    const share = this.shares.get(tenant);
    if (!share) return;
    const { ratePerSecond, capacity } = share.bucket.share;
    const lowered = { ratePerSecond: ratePerSecond * factor, capacity: capacity * factor };
    share.bucket.reshape(lowered, now);
  }

  private dropShares(now: number): void {
    for (const share of this.shares.values()) share.bucket.reshape(NO_SHARE, now);
  }

  private shareOf(tenant: string, now: number): GatewayShare {
    const known = this.shares.get(tenant);
    if (known) return known;
    const share: GatewayShare = {
      bucket: new TokenBucket(NO_SHARE, now),
      recentCalls: 0,
      recentAt: now,
      waiting: 0,
      scarceUntil: 0,
      pressure: 0,
      promisedAt: 0,
    };
    this.shares.set(tenant, share);
    return share;
  }
}

function heldOf(tenant: string, share: GatewayShare, now: number): HeldShare {
  const { bucket, waiting } = share;
  const { ratePerSecond, capacity } = bucket.share;
  const demandPerSecond = demandOf(share, now);
  return { tenant, ratePerSecond, capacity, level: bucket.level(now), demandPerSecond, waiting };
}

function reserveOf({ pressure, bucket }: GatewayShare, beginsProgram: boolean): number {
  if (!beginsProgram || pressure <= 1) return 0;
  return bucket.share.capacity * BEGUN_PROGRAMS_SHARE;
}

function round(value: number): number {
  return Math.round(value * 100) / 100;
}

/** Calls a second that a tenant asks for here. */
function demandOf(share: GatewayShare, now: number): number {
  return decayed(share, now) / DEMAND_WINDOW_S;
}

/** Calls of the last seconds, as of now. */
function decayed({ recentCalls, recentAt }: GatewayShare, now: number): number {
  const elapsedS = Math.max(0, now - recentAt) / MS_PER_SECOND;
  return recentCalls * Math.exp(-elapsedS / DEMAND_WINDOW_S);
}
