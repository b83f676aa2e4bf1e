/**
 * The leader's in-memory registry of leased shares. A gateway is assumed to hold the maximum of what it last reported
 * and what it was granted since, because the response may or may not have arrived. A silent gateway holds its shares
 * until their lease expires.
 *
 * A new leader starts without this state. It grants nothing of shared tenants until every gateway that may hold shares
 * has reported or its lease has expired; the pools of all other tenants start empty and refill once the previous leader
 * can no longer respond. The caller passes the current time, so that tests can simulate it.
 */
import type { GrantedShare, HeldShare, SharesRequest } from './messages.js';
import {
  type QuotaShare,
  type QuotaTolerance,
  type TenantLimit,
  budgetOf,
  isLimited,
} from './quota-budget.js';
import { type TenantDemand, allocateShare, isWorthSharing } from './share-allocation.js';
import { type GatewayHolding, NOTHING_HELD, TenantPool } from './tenant-pool.js';

export interface ShareRegistryOptions {
  tolerance: QuotaTolerance;
  /** Duration of the lease of granted shares, in milliseconds. */
  leaseMs: number;
  /** Share of a gateway as a multiple of its demand. @default HEADROOM */
  headroom?: number;
  /** Time for which the previous leader may still respond after this one was elected, in milliseconds. */
  overlapMs: number;
  /** Whether the tenant is committed as shared, so that gateways may hold rates of its limit. */
  mayShare: (tenant: string) => boolean;
}

/** Committed information about shares that a previous leader may have granted. */
export interface OutstandingShares {
  /** Gateways that may hold shares. */
  gateways: Iterable<string>;
  /** Tenants whose rates they may hold. */
  tenants: Iterable<string>;
}

export interface NamedLimit extends TenantLimit {
  name: string;
}

interface GatewayRecord {
  incarnation: string;
  sequence: number;
  /** When the last response was sent (monotonic, milliseconds). */
  respondedAt: number;
  holdings: Map<string, GatewayHolding>;
  response: GrantedShare[];
  /** Earlier incarnations of the gateway, whose requests may still arrive. */
  pastIncarnations: ReadonlySet<string>;
}

export class ShareRegistry {
  private readonly pools = new Map<string, TenantPool>();
  private readonly gateways = new Map<string, GatewayRecord>();
  /** Gateways that may hold shares of a previous leader and have not reported yet. */
  private readonly unreported = new Set<string>();
  /** Tenants with rates that a previous leader may have granted and that are not all reported yet. */
  private readonly uncertain = new Set<string>();
  private readonly pendingTenants = new Set<string>();
  private leasesEndAt = 0;
  private fillsFrom = 0;

  constructor(private readonly options: ShareRegistryOptions) {}

  /**
   * Resets the registry when this process becomes the leader.
   * @param outstanding shares that a previous leader may have granted
   */
  begin({ gateways, tenants }: OutstandingShares, now: number): void {
    for (const state of [
      this.pools,
      this.gateways,
      this.unreported,
      this.uncertain,
      this.pendingTenants,
    ]) {
      state.clear();
    }
    for (const name of gateways) this.unreported.add(name);
    for (const tenant of tenants) this.uncertain.add(tenant);
    this.leasesEndAt = now + this.options.leaseMs;
    this.fillsFrom = now + this.options.overlapMs;
  }

  /** Applies the limits of a configuration; tenants without a limit are ignored. */
  setLimits(limits: readonly NamedLimit[], now: number): void {
    const limited = new Map(limits.filter(isLimited).map((limit) => [limit.name, limit]));
    for (const name of [...this.pools.keys()]) if (!limited.has(name)) this.pools.delete(name);
    for (const [name, limit] of limited) this.setLimit(name, limit, now);
  }

  /**
   * Processes a gateway's report.
   * @returns the shares that it holds from now on; undefined if it has to send a full report first
   */
  report(request: SharesRequest, now: number): GrantedShare[] | undefined {
    this.expireLeases(now);
    const existing = this.gateways.get(request.gateway);
    if (request.isPartial && existing?.incarnation !== request.incarnation) return undefined;
    const record = this.recordOf(request);
    if (!record) return [];
    this.unreported.delete(request.gateway);
    this.endUncertainty(now);
    // Duplicate and delayed requests change nothing: the gateway accepts one response per request.
    if (request.sequence <= record.sequence) return record.response;
    record.sequence = request.sequence;
    record.respondedAt = now;
    if (!request.isPartial) this.dropUnreported(record, request.held, now);
    record.response = request.held.flatMap((held) => this.grant(record, held, now) ?? []);
    return record.response;
  }

  /** Gateways with valid leases, and those that have not reported to this leader yet. */
  holders(now: number): string[] {
    this.expireLeases(now);
    return [...this.gateways.keys(), ...this.unreported];
  }

  /** Whether tenants are to be committed as shared. */
  get hasPendingTenants(): boolean {
    return this.pendingTenants.size > 0;
  }

  /** Returns the tenants to be committed as shared and clears the list. */
  takePendingTenants(): string[] {
    const tenants = [...this.pendingTenants];
    this.pendingTenants.clear();
    return tenants;
  }

  /** Whether any gateway may hold a rate of a tenant's limit. */
  isShared(tenant: string): boolean {
    return this.uncertain.has(tenant) || (this.pools.get(tenant)?.isShared ?? false);
  }

  private setLimit(name: string, limit: TenantLimit, now: number): void {
    const budget = budgetOf(limit, this.options.tolerance);
    const existing = this.pools.get(name);
    if (existing) {
      existing.setBudget(budget, now);
      return;
    }
    const pool = new TenantPool(budget, Math.max(now, this.fillsFrom));
    this.pools.set(name, pool);
    for (const { holdings } of this.gateways.values()) {
      pool.replace(NOTHING_HELD, holdings.get(name) ?? NOTHING_HELD, now);
    }
  }

  /** @returns undefined for a superseded incarnation of the gateway */
  private recordOf({ gateway, incarnation }: SharesRequest): GatewayRecord | undefined {
    const existing = this.gateways.get(gateway);
    if (existing?.incarnation === incarnation) return existing;
    if (existing?.pastIncarnations.has(incarnation)) return undefined;
    // The shares of the previous incarnation are reclaimed because the new one does not report them.
    const holdings = existing?.holdings ?? new Map<string, GatewayHolding>();
    const pastIncarnations = existing
      ? new Set([...existing.pastIncarnations, existing.incarnation])
      : new Set<string>();
    const record = {
      incarnation,
      sequence: -1,
      respondedAt: 0,
      holdings,
      response: [],
      pastIncarnations,
    };
    this.gateways.set(gateway, record);
    return record;
  }

  /**
   * Ends the uncertainty once all gateways have reported or their leases have expired. Tokens refilled until then are
   * discarded, since gateways may have refilled them as well.
   */
  private endUncertainty(now: number): void {
    if (this.unreported.size > 0 && now < this.leasesEndAt) return;
    for (const tenant of this.uncertain) this.pools.get(tenant)?.empty(now);
    this.uncertain.clear();
  }

  private dropUnreported(record: GatewayRecord, held: readonly HeldShare[], now: number): void {
    const reported = new Set(held.map(({ tenant }) => tenant));
    for (const tenant of [...record.holdings.keys()]) {
      if (!reported.has(tenant)) this.replaceHolding(record, tenant, NOTHING_HELD, now);
    }
  }

  private grant(record: GatewayRecord, held: HeldShare, now: number): GrantedShare | undefined {
    const { tenant, demandPerSecond, level, waiting } = held;
    const pool = this.pools.get(tenant);
    this.replaceHolding(record, tenant, held, now);
    if (!pool) return undefined;
    const isCertain = !this.uncertain.has(tenant);
    const mayShare = this.options.mayShare(tenant);
    const demand: TenantDemand = {
      demandPerSecond,
      totalDemandPerSecond: pool.demandPerSecond,
      gateways: this.gateways.size,
    };
    if (!mayShare && isWorthSharing(demand)) this.pendingTenants.add(tenant);
    const { share, ...granted } = allocateShare({
      budget: pool.limit,
      others: isCertain ? pool.heldByOthers(held) : allButHeld(pool, held),
      ...demand,
      level,
      waiting,
      poolTokens: isCertain ? pool.tokens(now) : 0,
      mayShare,
      headroom: this.options.headroom,
    });
    pool.takeTokens(granted.tokens, now);
    const mayHold: GatewayHolding = {
      ratePerSecond: Math.max(held.ratePerSecond, share.ratePerSecond),
      capacity: Math.max(held.capacity, share.capacity),
      demandPerSecond,
    };
    this.replaceHolding(record, tenant, mayHold, now);
    return { tenant, ...share, ...granted };
  }

  private replaceHolding(
    { holdings }: GatewayRecord,
    tenant: string,
    { ratePerSecond, capacity, demandPerSecond }: GatewayHolding,
    now: number,
  ): void {
    const previous = holdings.get(tenant) ?? NOTHING_HELD;
    this.pools.get(tenant)?.replace(previous, { ratePerSecond, capacity, demandPerSecond }, now);
    const isEmpty = ratePerSecond === 0 && capacity === 0 && demandPerSecond === 0;
    if (isEmpty) holdings.delete(tenant);
    else holdings.set(tenant, { ratePerSecond, capacity, demandPerSecond });
  }

  private expireLeases(now: number): void {
    if (now >= this.leasesEndAt) this.unreported.clear();
    for (const [name, record] of this.gateways) {
      if (now - record.respondedAt <= this.options.leaseMs) continue;
      for (const tenant of [...record.holdings.keys()]) {
        this.replaceHolding(record, tenant, NOTHING_HELD, now);
      }
      this.gateways.delete(name);
    }
  }
}

/** While gateways have not reported, the others may hold everything that the requesting gateway does not. */
function allButHeld({ limit }: TenantPool, held: QuotaShare): QuotaShare {
  return {
    ratePerSecond: limit.ratePerSecond - held.ratePerSecond,
    capacity: limit.capacity - held.capacity,
  };
}
