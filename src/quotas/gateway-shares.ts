/**
 * A gateway's shares of the tenants' limits: admits calls, reports demand to the leader and computes retry delays. Does
 * no I/O and takes the current time as an argument, so that tests can simulate time.
 */
import type { LogFields } from '../observability/index.js';
import type { GrantedShare, HeldShare } from './messages.js';
import type { QuotaShare } from './quota-budget.js';
import { isSparse } from './share-allocation.js';
import { TokenBucket } from './token-bucket.js';

/** A gateway's share and demand of one tenant. */
interface GatewayShare {
  bucket: TokenBucket;
  /** Exponentially decaying count of recent calls, as of `recentAt`. */
  recentCalls: number;
  recentAt: number;
  /** Calls waiting for a token. */
  waiting: number;
  /** The leader has no token until then (monotonic, milliseconds). */
  scarceUntil: number;
  /** The tenant's total demand as a multiple of its limit, as last reported by the leader. */
  pressure: number;
  /** The retry time given to the last rejected caller (monotonic, milliseconds). */
  lastRetryAt: number;
}

/** Time constant of the demand estimate, long enough that a single call does not count as demand. */
const DEMAND_WINDOW_S = 3;
/** Demand below which a tenant's share is released. */
const MINIMUM_DEMAND_PER_SECOND = 0.05;
/** A bucket is low when it holds less than this many seconds of demand. */
const LOW_BUCKET_S = 0.25;
/** Fraction of a bucket reserved for running programs while the tenant exceeds its limit. */
const RUNNING_PROGRAMS_RESERVE = 0.5;
/** Bounds of the retry delay, in milliseconds. */
const MINIMUM_RETRY_MS = 150;
const MAXIMUM_RETRY_MS = 2_000;
const MS_PER_SECOND = 1_000;
const EMPTY_SHARE: QuotaShare = { ratePerSecond: 0, capacity: 0 };

export class GatewayShares {
  private readonly shares = new Map<string, GatewayShare>();
  private leaseEndsAt = Number.NEGATIVE_INFINITY;

  /** Records an arriving call as demand. */
  noteCall(tenant: string, now: number): void {
    const share = this.shareOf(tenant, now);
    share.recentCalls = recentCallsAt(share, now) + 1;
    share.recentAt = now;
  }

  /**
   * Takes a token for a call. There is no way to return it: a later call that got it could run in a window in which it
   * did not become available, in addition to the tokens of that window.
   * @param beginsProgram whether the call is the first of a program; running programs take precedence when tokens are
   *   scarce, since an unfinished program is of no use
   */
  take(tenant: string, beginsProgram: boolean, now: number): boolean {
    if (now >= this.leaseEndsAt) return false;
    const share = this.shareOf(tenant, now);
    return share.bucket.take(now, reserveOf(share, beginsProgram));
  }

  /** @param change +1 when a call starts to wait for a token, -1 when it stops waiting */
  noteWaiting(tenant: string, change: 1 | -1, now: number): void {
    this.shareOf(tenant, now).waiting += change;
  }

  /** Whether tokens should be requested before the next regular request. */
  isLow(tenant: string, now: number): boolean {
    const share = this.shareOf(tenant, now);
    const demand = demandOf(share, now);
    return !isSparse(demand) && share.bucket.level(now) < Math.max(1, demand * LOW_BUCKET_S);
  }

  /** Whether the leader has reported that no token is available yet. */
  isScarce(tenant: string, now: number): boolean {
    const share = this.shares.get(tenant);
    return share !== undefined && now < share.scarceUntil;
  }

  get isAnyWaiting(): boolean {
    return [...this.shares.values()].some(({ waiting }) => waiting > 0);
  }

  /** Whether the lease of the shares is still valid. */
  isLeased(now: number): boolean {
    return now < this.leaseEndsAt;
  }

  /**
   * Retry delay of a rejected caller, in milliseconds. Successive callers get successive tokens' times, so that they
   * return at the refill rate.
   */
  retryAfterMs(tenant: string, now: number): number {
    const share = this.shareOf(tenant, now);
    const { ratePerSecond } = share.bucket.share;
    const tokenIntervalMs = ratePerSecond > 0 ? MS_PER_SECOND / ratePerSecond : MAXIMUM_RETRY_MS;
    const earliest = now + MINIMUM_RETRY_MS;
    const retryAt = Math.max(earliest, share.lastRetryAt + tokenIntervalMs);
    share.lastRetryAt = Math.min(retryAt, now + MAXIMUM_RETRY_MS);
    return share.lastRetryAt - now;
  }

  /** Share and demand of a tenant, for the log line of a rejected call. */
  describe(tenant: string, now: number): LogFields {
    const share = this.shareOf(tenant, now);
    return {
      tokens: round(share.bucket.level(now)),
      shareRate: round(share.bucket.share.ratePerSecond),
      demand: round(demandOf(share, now)),
      pressure: round(share.pressure),
    };
  }

  /** All shares held, for a full request; shares that are hardly used are released. */
  held(now: number): HeldShare[] {
    if (!this.isLeased(now)) this.dropShares(now);
    for (const [tenant, share] of this.shares) {
      const isUsed = demandOf(share, now) >= MINIMUM_DEMAND_PER_SECOND || share.waiting > 0;
      if (!isUsed) this.shares.delete(tenant);
    }
    return [...this.shares].map(([tenant, share]) => heldOf(tenant, share, now));
  }

  /** The shares of tenants that are low on tokens or have waiting calls, for a partial request. */
  heldByLowTenants(now: number): HeldShare[] {
    const low = [...this.shares].filter(
      ([tenant, { waiting }]) => waiting > 0 || this.isLow(tenant, now),
    );
    return low.map(([tenant, share]) => heldOf(tenant, share, now));
  }

  /** @param leaseEndsAt when the shares expire (monotonic, milliseconds) */
  applyGrants(granted: readonly GrantedShare[], leaseEndsAt: number, now: number): void {
    this.leaseEndsAt = Math.max(this.leaseEndsAt, leaseEndsAt);
    for (const grant of granted) {
      const { tenant, ratePerSecond, capacity, tokens, scarceForMs, pressure } = grant;
      // A share released in the meantime is ignored: the leader knows that it is not held.
      const share = this.shares.get(tenant);
      if (!share) continue;
      share.bucket.reshape({ ratePerSecond, capacity }, now);
      share.bucket.add(tokens, now);
      share.scarceUntil = now + scarceForMs;
      share.pressure = pressure;
    }
  }

  /** Scales a share down after its limit was lowered. @param factor below 1 */
  scaleDown(tenant: string, factor: number, now: number): void {
    const share = this.shares.get(tenant);
    if (!share) return;
    const { ratePerSecond, capacity } = share.bucket.share;
    const lowered = { ratePerSecond: ratePerSecond * factor, capacity: capacity * factor };
    share.bucket.reshape(lowered, now);
  }

  private dropShares(now: number): void {
    for (const share of this.shares.values()) share.bucket.reshape(EMPTY_SHARE, now);
  }

  private shareOf(tenant: string, now: number): GatewayShare {
    const known = this.shares.get(tenant);
    if (known) return known;
    const share: GatewayShare = {
      bucket: new TokenBucket(EMPTY_SHARE, now),
      recentCalls: 0,
      recentAt: now,
      waiting: 0,
      scarceUntil: 0,
      pressure: 0,
      lastRetryAt: 0,
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
  return bucket.share.capacity * RUNNING_PROGRAMS_RESERVE;
}

function round(value: number): number {
  return Math.round(value * 100) / 100;
}

/** A tenant's demand at this gateway, in calls per second. */
function demandOf(share: GatewayShare, now: number): number {
  return recentCallsAt(share, now) / DEMAND_WINDOW_S;
}

function recentCallsAt({ recentCalls, recentAt }: GatewayShare, now: number): number {
  const elapsedS = Math.max(0, now - recentAt) / MS_PER_SECOND;
  return recentCalls * Math.exp(-elapsedS / DEMAND_WINDOW_S);
}
