/** One tenant's limit at the leader: what gateways hold, or may hold, and the tokens that none of them has. */
import type { QuotaShare } from './quota-budget.js';
import { TokenBucket } from './token-bucket.js';

/** What one gateway holds, or may hold, and what it asked for. */
export interface GatewayHolding extends QuotaShare {
  demandPerSecond: number;
}

export const NOTHING_HELD: GatewayHolding = { ratePerSecond: 0, capacity: 0, demandPerSecond: 0 };

/** What sums of rates are off by, at most. */
const LEAST_RATE = 1e-6;

export class TenantPool {
  private held: GatewayHolding = NOTHING_HELD;
  private readonly bucket: TokenBucket;

  /** @param fillsFrom when it begins to fill (monotonic, milliseconds) */
  constructor(
    private budget: QuotaShare,
    fillsFrom: number,
  ) {
    this.bucket = new TokenBucket(budget, fillsFrom);
  }

  get limit(): QuotaShare {
    return this.budget;
  }

  /** Whether any gateway holds, or may hold, a rate. */
  get isShared(): boolean {
    return this.held.ratePerSecond > LEAST_RATE;
  }

  get demandPerSecond(): number {
    return this.held.demandPerSecond;
  }

  /** What gateways hold together but for one of them. */
  heldBesides(own: QuotaShare): QuotaShare {
    return {
      ratePerSecond: this.held.ratePerSecond - own.ratePerSecond,
      capacity: this.held.capacity - own.capacity,
    };
  }

  tokens(now: number): number {
    return this.bucket.level(now);
  }

  takeTokens(tokens: number, now: number): void {
    this.bucket.takeUpTo(tokens, now);
  }

  empty(now: number): void {
    this.bucket.takeUpTo(Infinity, now);
  }

  setBudget(budget: QuotaShare, now: number): void {
    this.budget = budget;
    this.reshape(now);
  }

  /** A gateway's holding has changed. */
  replace(before: GatewayHolding, after: GatewayHolding, now: number): void {
    this.held = {
      ratePerSecond: this.held.ratePerSecond - before.ratePerSecond + after.ratePerSecond,
      capacity: this.held.capacity - before.capacity + after.capacity,
      demandPerSecond: Math.max(
        0,
        this.held.demandPerSecond - before.demandPerSecond + after.demandPerSecond,
      ),
    };
    this.reshape(now);
  }

  /** The pool fills at what nobody holds. */
  private reshape(now: number): void {
    const ratePerSecond = Math.max(0, this.budget.ratePerSecond - this.held.ratePerSecond);
    const capacity = Math.max(0, this.budget.capacity - this.held.capacity);
    this.bucket.reshape({ ratePerSecond, capacity }, now);
  }
}
