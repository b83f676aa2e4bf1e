/**
 * Who holds which share of which tenant's limit, in the leader's memory only. What a gateway holds is what it last
 * said; what it was offered since counts as well, since the answer may have arrived. A gateway that isn't heard holds
 * its shares until their lease is over.
 *
 * A new leader knows nothing of them. Of tenants whose limits gateways may hold rates of it gives nothing until every gateway
 * that may hold shares has spoken, or their leases are over; the limits of all others begin empty and fill once the leader
 * before can't answer any more. Times are given, so that it can be tested on simulated time.
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
  /** Shares hold for so long after the answer that gave them, in milliseconds. */
  leaseMs: number;
  /** Share that a gateway gets, as a multiple of its demand. @default HEADROOM */
  headroom?: number;
  /** An earlier leader may answer for so long after this one has begun to lead, in milliseconds. */
  overlapMs: number;
  /** Whether the group has committed that gateways may hold rates of a tenant's limit. */
  mayShare: (tenant: string) => boolean;
}

/** What the group has committed of shares that may be out. */
export interface OutstandingShares {
  /** Gateways that may hold shares. */
  gateways: Iterable<string>;
  /** Tenants of whose limits they may hold rates. */
  tenants: Iterable<string>;
}

/** A tenant's limit, by its name. */
export interface NamedLimit extends TenantLimit {
  name: string;
}

interface GatewayRecord {
  incarnation: string;
  sequence: number;
  /** When it was last answered (monotonic, milliseconds). */
  answeredAt: number;
  holdings: Map<string, GatewayHolding>;
  answer: GrantedShare[];
  /** Processes of this gateway before; what they said may still arrive. */
  past: ReadonlySet<string>;
}

export class ShareRegistry {
  private readonly pools = new Map<string, TenantPool>();
  private readonly gateways = new Map<string, GatewayRecord>();
  /** Gateways that may hold shares of an earlier leader. */
  private readonly unheard = new Set<string>();
  /** Tenants of whose limits gateways may hold rates that an earlier leader gave. */
  private readonly uncertain = new Set<string>();
  private readonly wanted = new Set<string>();
  private leasesOverAt = 0;
  private fillsFrom = 0;

  constructor(private readonly options: ShareRegistryOptions) {}

  /**
   * This process leads from now on.
   * @param out what an earlier leader may have given
   */
  begin({ gateways, tenants }: OutstandingShares, now: number): void {
    for (const state of [this.pools, this.gateways, this.unheard, this.uncertain, this.wanted]) {
      state.clear();
    }
    for (const name of gateways) this.unheard.add(name);
    for (const tenant of tenants) this.uncertain.add(tenant);
    this.leasesOverAt = now + this.options.leaseMs;
    this.fillsFrom = now + this.options.overlapMs;
  }

  /** Takes over the tenants of a configuration; those without a limit are left out. */
  setLimits(limits: readonly NamedLimit[], now: number): void {
    const named = new Map(limits.filter(isLimited).map((limit) => [limit.name, limit]));
    for (const name of [...this.pools.keys()]) if (!named.has(name)) this.pools.delete(name);
    for (const [name, limit] of named) this.setLimit(name, limit, now);
  }

  /**
   * Takes what a gateway says.
   * @returns what it holds from now on; nothing where it has to tell all that it holds first
   */
  report(request: SharesRequest, now: number): GrantedShare[] | undefined {
    this.endLeases(now);
    const known = this.gateways.get(request.gateway);
    if (request.isPartial && known?.incarnation !== request.incarnation) return undefined;
    const record = this.recordOf(request);
    if (!record) return [];
    this.unheard.delete(request.gateway);
    this.becomeCertain(now);
    // A question that came twice, or late, changes nothing: the gateway takes one answer only.
    if (request.sequence <= record.sequence) return record.answer;
    record.sequence = request.sequence;
    record.answeredAt = now;
    if (!request.isPartial) this.dropUnnamed(record, request.held, now);
    record.answer = request.held.flatMap((held) => this.grant(record, held, now) ?? []);
    return record.answer;
  }

  /** Gateways heard by this leader whose leases are not over, and those that it has not heard yet. */
  holders(now: number): string[] {
    this.endLeases(now);
    return [...this.gateways.keys(), ...this.unheard];
  }

  /** Whether there are tenants of whose limits gateways should hold rates, and may not yet. */
  get hasPendingTenants(): boolean {
    return this.wanted.size > 0;
  }

  /** These tenants; they are named once. */
  takePendingTenants(): string[] {
    const tenants = [...this.wanted];
    this.wanted.clear();
    return tenants;
  }

  /** Whether a gateway holds, or may hold, a rate of a tenant's limit. */
  isShared(tenant: string): boolean {
    return this.uncertain.has(tenant) || (this.pools.get(tenant)?.isShared ?? false);
  }

  private setLimit(name: string, limit: TenantLimit, now: number): void {
    const budget = budgetOf(limit, this.options.tolerance);
    const known = this.pools.get(name);
    if (known) {
      known.setBudget(budget, now);
      return;
    }
    const pool = new TenantPool(budget, Math.max(now, this.fillsFrom));
    this.pools.set(name, pool);
    for (const { holdings } of this.gateways.values()) {
      pool.replace(NOTHING_HELD, holdings.get(name) ?? NOTHING_HELD, now);
    }
  }

  /** @returns nothing for a process of the gateway that another one has followed */
  private recordOf({ gateway, incarnation }: SharesRequest): GatewayRecord | undefined {
    const known = this.gateways.get(gateway);
    if (known?.incarnation === incarnation) return known;
    if (known?.past.has(incarnation)) return undefined;
    // What the process before held is taken back as the new one doesn't name it.
    const holdings = known?.holdings ?? new Map<string, GatewayHolding>();
    const past = known ? new Set([...known.past, known.incarnation]) : new Set<string>();
    const record = { incarnation, sequence: -1, answeredAt: 0, holdings, answer: [], past };
    this.gateways.set(gateway, record);
    return record;
  }

  /** Every gateway that may hold shares has been heard, or has none any more: what filled meanwhile was never there. */
  private becomeCertain(now: number): void {
    if (this.unheard.size > 0 && now < this.leasesOverAt) return;
    for (const tenant of this.uncertain) this.pools.get(tenant)?.empty(now);
    this.uncertain.clear();
  }

  private dropUnnamed(record: GatewayRecord, held: readonly HeldShare[], now: number): void {
    const named = new Set(held.map(({ tenant }) => tenant));
    for (const tenant of [...record.holdings.keys()]) {
      if (!named.has(tenant)) this.replaceHolding(record, tenant, NOTHING_HELD, now);
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
    if (!mayShare && isWorthSharing(demand)) this.wanted.add(tenant);
    const { share, ...granted } = allocateShare({
      budget: pool.limit,
      others: isCertain ? pool.heldBesides(held) : allBesides(pool, held),
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
    const before = holdings.get(tenant) ?? NOTHING_HELD;
    this.pools.get(tenant)?.replace(before, { ratePerSecond, capacity, demandPerSecond }, now);
    const isNothing = ratePerSecond === 0 && capacity === 0 && demandPerSecond === 0;
    if (isNothing) holdings.delete(tenant);
    else holdings.set(tenant, { ratePerSecond, capacity, demandPerSecond });
  }

  private endLeases(now: number): void {
    if (now >= this.leasesOverAt) this.unheard.clear();
    for (const [name, record] of this.gateways) {
      if (now - record.answeredAt <= this.options.leaseMs) continue;
      for (const tenant of [...record.holdings.keys()]) {
        this.replaceHolding(record, tenant, NOTHING_HELD, now);
      }
      this.gateways.delete(name);
    }
  }
}

/** While some have not been heard they may hold all that is not known to be held by one gateway. */
function allBesides({ limit }: TenantPool, held: QuotaShare): QuotaShare {
  return {
    ratePerSecond: limit.ratePerSecond - held.ratePerSecond,
    capacity: limit.capacity - held.capacity,
  };
}
