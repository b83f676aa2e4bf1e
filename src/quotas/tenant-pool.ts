/** One tenant's budget at the leader: the shares that gateways may hold, and the pool of the remaining tokens. */
import type { QuotaShare } from './quota-budget.js';
import { TokenBucket } from './token-bucket.js';

/** The share that one gateway may hold, and its demand. */
export interface GatewayHolding extends QuotaShare {
  demandPerSecond: number;
}

export const NOTHING_HELD: GatewayHolding = { ratePerSecond: 0, capacity: 0, demandPerSecond: 0 };

/** Rates below this are rounding errors of sums. */
const RATE_EPSILON = 1e-6;

export class TenantPool {
  private held: GatewayHolding = NOTHING_HELD;
  private readonly bucket: TokenBucket;

  /** @param fillsFrom when the pool starts to refill (monotonic, milliseconds) */
  constructor(
    private budget: QuotaShare,
    fillsFrom: number,
  ) {
    this.bucket = new TokenBucket(budget, fillsFrom);
  }

  get limit(): QuotaShare {
    return this.budget;
  }

  /** Whether any gateway may hold a rate. */
  get isShared(): boolean {
    return this.held.ratePerSecond > RATE_EPSILON;
  }

  get demandPerSecond(): number {
    return this.held.demandPerSecond;
  }

  /** The sum of all shares except one gateway's own. */
  heldByOthers(own: QuotaShare): QuotaShare {
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

  /** Replaces a gateway's holding. */
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

  /** The pool gets the rate and capacity that no gateway holds. */
  private reshape(now: number): void {
    const ratePerSecond = Math.max(0, this.budget.ratePerSecond - this.held.ratePerSecond);
    const capacity = Math.max(0, this.budget.capacity - this.held.capacity);
    this.bucket.reshape({ ratePerSecond, capacity }, now);
  }
}
