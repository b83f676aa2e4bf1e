/** Token bucket. The caller passes the current time, so that tests can simulate it. */
import type { QuotaShare } from './quota-budget.js';

const MS_PER_SECOND = 1_000;

export class TokenBucket {
  private tokens = 0;
  private refilledAt: number;

  /** The bucket starts empty. */
  constructor(
    private shape: QuotaShare,
    now: number,
  ) {
    this.refilledAt = now;
  }

  get share(): QuotaShare {
    return this.shape;
  }

  level(now: number): number {
    this.refill(now);
    return this.tokens;
  }

  /** Takes a token unless fewer than `reserve` would be left. */
  take(now: number, reserve = 0): boolean {
    this.refill(now);
    if (this.tokens < 1 + reserve) return false;
    this.tokens -= 1;
    return true;
  }

  /** Takes up to `most` tokens. @returns how many were taken */
  takeUpTo(most: number, now: number): number {
    this.refill(now);
    const taken = Math.max(0, Math.min(most, this.tokens));
    this.tokens -= taken;
    return taken;
  }

  /** Tokens beyond the capacity are discarded. */
  add(tokens: number, now: number): void {
    this.refill(now);
    this.tokens = Math.min(this.shape.capacity, this.tokens + tokens);
  }

  /** Changes rate and capacity; tokens beyond the new capacity are discarded. */
  reshape(shape: QuotaShare, now: number): void {
    this.refill(now);
    this.shape = shape;
    this.tokens = Math.min(this.tokens, shape.capacity);
  }

  /** Time until a token beyond `reserve` is available, in milliseconds; Infinity if it never is. */
  msUntilToken(now: number, reserve = 0): number {
    const missing = 1 + reserve - this.level(now);
    if (missing <= 0) return 0;
    const { ratePerSecond, capacity } = this.shape;
    const isReachable = ratePerSecond > 0 && capacity >= 1 + reserve;
    return isReachable ? (missing / ratePerSecond) * MS_PER_SECOND : Infinity;
  }

  private refill(now: number): void {
    const elapsedMs = Math.max(0, now - this.refilledAt);
    this.refilledAt = Math.max(this.refilledAt, now);
    const { ratePerSecond, capacity } = this.shape;
    const refilled = this.tokens + (elapsedMs / MS_PER_SECOND) * ratePerSecond;
    this.tokens = Math.min(capacity, refilled);
  }
}
