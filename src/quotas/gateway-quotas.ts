/** A gateway's side of limits: asks the directory's leader for shares, and lets calls pass by what it holds. */
import { randomBytes } from 'node:crypto';
import { SignalEvent, describeError, monotonicMs, sleep } from '../common/index.js';
import { type GroupClient, callLeader } from '../consensus/index.js';
import type { LogFields, Logger } from '../observability/index.js';
import { GatewayShares } from './gateway-shares.js';
import { QUOTA_SHARES, type SharesResponse, type SharesRequest } from './messages.js';
import { type TenantLimit, isLimited } from './quota-budget.js';
import { LEADER_OVERLAP_MS, SHARE_LEASE_MS } from './quota-leader.js';

export interface GatewayQuotasOptions {
  groups: GroupClient;
  /** Group whose leader hands shares out. */
  group: string;
  gateway: string;
  logger: Logger;
}

/** Time between two questions while nothing is short, in milliseconds: a seventh of the lease. */
const REGULAR_INTERVAL_MS = 500;
/** Time between two questions while a bucket is low, in milliseconds; a leader answers in some 5 ms. */
const SHORTEST_INTERVAL_MS = 40;
/** The same while a call waits: calls that come within it are asked for together. */
const WAITING_INTERVAL_MS = 4;
/** How long one question may take, in milliseconds. */
const ASK_TIMEOUT_MS = 400;
/** How long a call waits for a token at most, in milliseconds: many round trips across zones. */
const TOKEN_WAIT_MS = 250;
const INCARNATION_BYTES = 6;
/** After a question without an answer callers are told to come back after so long: about what an election takes. */
const OUTAGE_RETURN_MS = 500;

/** Whether a call may go on; if not, when its caller had better come back, in milliseconds. */
export type QuotaDecision =
  | { isAllowed: true }
  /** Uncertain where no leader answers: nothing is known then of what the tenant has left. */
  | { isAllowed: false; reason: 'over-limit' | 'uncertain'; retryAfterMs: number };

const ALLOWED: QuotaDecision = { isAllowed: true };

export class GatewayQuotas {
  private readonly shares = new GatewayShares();
  private readonly incarnation = randomBytes(INCARNATION_BYTES).toString('hex');
  private readonly needed = new SignalEvent();
  private readonly answered = new SignalEvent();
  private readonly stopping = new AbortController();
  private limits = new Map<string, TenantLimit>();
  private sequence = 0;
  private term = 0;
  private isRunning = false;
  private isNeeded = false;
  private wasAnswered = true;
  /** When the leader was last told of all that is held (monotonic, milliseconds). */
  private toldAllAt = Number.NEGATIVE_INFINITY;
  /** When the question was asked that was answered last (monotonic, milliseconds). */
  private answeredAt = Number.NEGATIVE_INFINITY;

  constructor(private readonly options: GatewayQuotasOptions) {}

  stop(): void {
    this.stopping.abort();
    this.needed.notify();
    this.answered.notify();
  }

  /** Takes over the tenants of a configuration; what is lowered is lowered at once. */
  setLimits(tenants: readonly (TenantLimit & { name: string })[]): void {
    const now = monotonicMs();
    const limits = new Map(tenants.filter(isLimited).map((tenant) => [tenant.name, tenant]));
    for (const [name, limit] of limits) {
      const before = this.limits.get(name);
      if (before) this.shares.scaleDown(name, loweringOf(before, limit), now);
    }
    this.limits = limits;
  }

  /**
   * Takes a token for a call of a tenant; waits for one where the leader may have some left.
   * @param beginsProgram whether the call is the first of a program
   */
  async take(tenant: string, beginsProgram: boolean): Promise<QuotaDecision> {
    if (!this.limits.has(tenant)) return ALLOWED;
    const now = monotonicMs();
    this.shares.noteCall(tenant, now);
    const isTaken = this.shares.take(tenant, beginsProgram, now);
    if (this.shares.isLow(tenant, now)) this.askSoon();
    if (isTaken) return ALLOWED;
    if (this.mayGetToken(tenant, now) && (await this.waitForToken(tenant, beginsProgram))) {
      return ALLOWED;
    }
    return this.refusal(tenant);
  }

  /** Nobody waits for a token where the leader has none, or none answers. */
  private mayGetToken(tenant: string, now: number): boolean {
    if (this.wasAnswered) return !this.shares.isScarce(tenant, now);
    this.askSoon();
    return false;
  }

  private refusal(tenant: string): QuotaDecision {
    const now = monotonicMs();
    const isCertain = this.wasAnswered && this.shares.isLeased(now);
    if (!isCertain) {
      return { isAllowed: false, reason: 'uncertain', retryAfterMs: OUTAGE_RETURN_MS };
    }
    const retryAfterMs = this.shares.retryAfterMs(tenant, now);
    return { isAllowed: false, reason: 'over-limit', retryAfterMs };
  }

  /** A call that had taken a token has not run, and never will. */
  giveBack(tenant: string): void {
    if (this.limits.has(tenant)) this.shares.giveBack(tenant, monotonicMs());
  }

  /** What this gateway holds of a tenant's limit, and since when, for the log of a refusal. */
  describe(tenant: string): LogFields {
    const limit = this.limits.get(tenant);
    const { ratePerSecond: rate, burst } = limit ?? {};
    const sharesAgeMs = Math.round(monotonicMs() - this.answeredAt);
    return { rate, burst, sharesAgeMs, ...this.shares.describe(tenant, monotonicMs()) };
  }

  private async waitForToken(tenant: string, beginsProgram: boolean): Promise<boolean> {
    const deadline = monotonicMs() + TOKEN_WAIT_MS;
    this.shares.noteWaiting(tenant, 1, monotonicMs());
    try {
      for (;;) {
        const leftMs = deadline - monotonicMs();
        if (leftMs <= 0 || this.stopping.signal.aborted) return false;
        this.askSoon();
        await this.answered.waitWithTimeout(leftMs);
        if (this.shares.take(tenant, beginsProgram, monotonicMs())) return true;
        if (this.shares.isScarce(tenant, monotonicMs())) return false;
      }
    } finally {
      this.shares.noteWaiting(tenant, -1, monotonicMs());
    }
  }

  /** The task that asks runs from the first limited call on: gateways without such calls pay nothing. */
  private askSoon(): void {
    this.isNeeded = true;
    this.needed.notify();
    if (this.isRunning) return;
    this.isRunning = true;
    void this.run();
  }

  private async run(): Promise<void> {
    while (!this.stopping.signal.aborted) {
      this.isNeeded = false;
      await this.ask();
      this.answered.notify();
      await this.pause();
    }
  }

  private async pause(): Promise<void> {
    const startedAt = monotonicMs();
    const elapsedMs = (): number => monotonicMs() - startedAt;
    await sleep(WAITING_INTERVAL_MS);
    while (elapsedMs() < REGULAR_INTERVAL_MS && !this.stopping.signal.aborted) {
      if (this.shares.isAnyWaiting) return;
      if (this.isNeeded && elapsedMs() >= SHORTEST_INTERVAL_MS) return;
      const untilMs = this.isNeeded ? SHORTEST_INTERVAL_MS : REGULAR_INTERVAL_MS;
      await this.needed.waitWithTimeout(Math.max(1, untilMs - elapsedMs()));
    }
  }

  private async ask(): Promise<void> {
    const askedAt = monotonicMs();
    this.sequence += 1;
    const { gateway, groups, group } = this.options;
    const { incarnation, sequence } = this;
    const isPartial = this.isBetweenRegular(askedAt);
    const held = isPartial ? this.shares.heldByLowTenants(askedAt) : this.shares.held(askedAt);
    if (!isPartial) this.toldAllAt = askedAt;
    const request: SharesRequest = { gateway, incarnation, sequence, held, isPartial };
    try {
      // One member at a time: of two leaders that answer one question only one can know what was taken.
      const limits = { timeoutMs: ASK_TIMEOUT_MS, tryTimeoutMs: ASK_TIMEOUT_MS };
      this.takeAnswer(await callLeader(groups, group, QUOTA_SHARES, request, limits), askedAt);
      this.noteAnswered(true, '');
    } catch (error) {
      this.noteAnswered(false, describeError(error));
    }
  }

  /** Whether the leader was told lately of all that is held, and has answered since. */
  private isBetweenRegular(now: number): boolean {
    const isRecent = now - this.toldAllAt < REGULAR_INTERVAL_MS;
    return isRecent && this.wasAnswered && this.shares.isLeased(now);
  }

  private takeAnswer(answer: SharesResponse, askedAt: number): void {
    if (answer.term < this.term || answer.confirmedAgeMs > LEADER_OVERLAP_MS) return;
    this.term = answer.term;
    if (!answer.shares) {
      this.toldAllAt = Number.NEGATIVE_INFINITY;
      return;
    }
    const now = monotonicMs();
    const leaseEndsAt = askedAt - answer.confirmedAgeMs + SHARE_LEASE_MS;
    this.answeredAt = askedAt;
    if (leaseEndsAt > now) this.shares.applyGrants(answer.shares, leaseEndsAt, now);
  }

  private noteAnswered(isAnswered: boolean, reason: string): void {
    if (this.wasAnswered === isAnswered) return;
    this.wasAnswered = isAnswered;
    if (isAnswered) this.options.logger.info('shares of limits regained', {});
    else this.options.logger.warn('shares of limits not renewed', { reason });
  }
}

/** What is left of a limit after a change, as a factor; 1 where nothing was lowered. */
function loweringOf(before: TenantLimit, after: TenantLimit): number {
  const rateFactor = after.ratePerSecond / before.ratePerSecond;
  const burstFactor = before.burst > 0 ? after.burst / before.burst : 1;
  return Math.min(1, rateFactor, burstFactor);
}
