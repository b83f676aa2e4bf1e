/** Gateway side of the quotas: requests shares from the directory's leader and admits calls within them. */
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
  /** Group whose leader allocates the shares. */
  group: string;
  gateway: string;
  logger: Logger;
}

/** Time between two regular requests, in milliseconds; a fraction of the lease. */
const FULL_REQUEST_INTERVAL_MS = 500;
/** Minimum time between two requests while a bucket is low, in milliseconds; a leader responds in about 5 ms. */
const LOW_BUCKET_INTERVAL_MS = 40;
/** Minimum time between two requests while calls wait, in milliseconds; calls within it are batched. */
const WAITING_INTERVAL_MS = 4;
const REQUEST_TIMEOUT_MS = 400;
/** Maximum time that a call waits for a token, in milliseconds; many round trips across zones. */
const TOKEN_WAIT_MS = 250;
const INCARNATION_BYTES = 6;
/** Retry delay of callers while no leader responds, in milliseconds; about the duration of an election. */
const OUTAGE_RETRY_MS = 500;

export type QuotaDecision =
  | { isAllowed: true }
  /** 'uncertain' if no leader responds, so that the tenant's remaining tokens are unknown. */
  | { isAllowed: false; reason: 'over-limit' | 'uncertain'; retryAfterMs: number };

const ALLOWED: QuotaDecision = { isAllowed: true };

export class GatewayQuotas {
  private readonly shares = new GatewayShares();
  private readonly incarnation = randomBytes(INCARNATION_BYTES).toString('hex');
  private readonly requestNeeded = new SignalEvent();
  private readonly responseReceived = new SignalEvent();
  private readonly stopping = new AbortController();
  private limits = new Map<string, TenantLimit>();
  private sequence = 0;
  private term = 0;
  private isRunning = false;
  private isRequestNeeded = false;
  private lastRequestSucceeded = true;
  /** When the last full request was sent (monotonic, milliseconds). */
  private fullRequestAt = Number.NEGATIVE_INFINITY;
  /** When the last successful request was sent (monotonic, milliseconds). */
  private refreshedAt = Number.NEGATIVE_INFINITY;

  constructor(private readonly options: GatewayQuotasOptions) {}

  stop(): void {
    this.stopping.abort();
    this.requestNeeded.notify();
    this.responseReceived.notify();
  }

  /** Applies the limits of a configuration; lowered limits take effect immediately. */
  setLimits(tenants: readonly (TenantLimit & { name: string })[]): void {
    const now = monotonicMs();
    const limits = new Map(tenants.filter(isLimited).map((tenant) => [tenant.name, tenant]));
    for (const [name, limit] of limits) {
      const previous = this.limits.get(name);
      if (previous) this.shares.scaleDown(name, reductionFactor(previous, limit), now);
    }
    this.limits = limits;
  }

  /**
   * Takes a token for a call of a tenant; waits for one if the leader may have tokens left.
   * @param beginsProgram whether the call is the first of a program
   */
  async take(tenant: string, beginsProgram: boolean): Promise<QuotaDecision> {
    if (!this.limits.has(tenant)) return ALLOWED;
    const now = monotonicMs();
    this.shares.noteCall(tenant, now);
    const isTaken = this.shares.take(tenant, beginsProgram, now);
    if (this.shares.isLow(tenant, now)) this.requestSoon();
    if (isTaken) return ALLOWED;
    if (this.mayReceiveToken(tenant, now) && (await this.waitForToken(tenant, beginsProgram))) {
      return ALLOWED;
    }
    return this.rejection(tenant);
  }

  /** Calls do not wait for a token if the leader has none or does not respond. */
  private mayReceiveToken(tenant: string, now: number): boolean {
    if (this.lastRequestSucceeded) return !this.shares.isScarce(tenant, now);
    this.requestSoon();
    return false;
  }

  private rejection(tenant: string): QuotaDecision {
    const now = monotonicMs();
    const isCertain = this.lastRequestSucceeded && this.shares.isLeased(now);
    if (!isCertain) {
      return { isAllowed: false, reason: 'uncertain', retryAfterMs: OUTAGE_RETRY_MS };
    }
    const retryAfterMs = this.shares.retryAfterMs(tenant, now);
    return { isAllowed: false, reason: 'over-limit', retryAfterMs };
  }

  /** Limit, share and age of the share, for the log line of a rejected call. */
  describe(tenant: string): LogFields {
    const limit = this.limits.get(tenant);
    const { ratePerSecond: rate, burst } = limit ?? {};
    const sharesAgeMs = Math.round(monotonicMs() - this.refreshedAt);
    return { rate, burst, sharesAgeMs, ...this.shares.describe(tenant, monotonicMs()) };
  }

  private async waitForToken(tenant: string, beginsProgram: boolean): Promise<boolean> {
    const deadline = monotonicMs() + TOKEN_WAIT_MS;
    this.shares.noteWaiting(tenant, 1, monotonicMs());
    try {
      for (;;) {
        const leftMs = deadline - monotonicMs();
        if (leftMs <= 0 || this.stopping.signal.aborted) return false;
        this.requestSoon();
        await this.responseReceived.waitWithTimeout(leftMs);
        if (this.shares.take(tenant, beginsProgram, monotonicMs())) return true;
        if (this.shares.isScarce(tenant, monotonicMs())) return false;
      }
    } finally {
      this.shares.noteWaiting(tenant, -1, monotonicMs());
    }
  }

  /** The request loop starts with the first limited call, so that gateways without limited calls have no cost. */
  private requestSoon(): void {
    this.isRequestNeeded = true;
    this.requestNeeded.notify();
    if (this.isRunning) return;
    this.isRunning = true;
    void this.run();
  }

  private async run(): Promise<void> {
    while (!this.stopping.signal.aborted) {
      this.isRequestNeeded = false;
      await this.requestShares();
      this.responseReceived.notify();
      await this.pause();
    }
  }

  private async pause(): Promise<void> {
    const startedAt = monotonicMs();
    const elapsedMs = (): number => monotonicMs() - startedAt;
    await sleep(WAITING_INTERVAL_MS);
    while (elapsedMs() < FULL_REQUEST_INTERVAL_MS && !this.stopping.signal.aborted) {
      if (this.shares.isAnyWaiting) return;
      if (this.isRequestNeeded && elapsedMs() >= LOW_BUCKET_INTERVAL_MS) return;
      const untilMs = this.isRequestNeeded ? LOW_BUCKET_INTERVAL_MS : FULL_REQUEST_INTERVAL_MS;
      await this.requestNeeded.waitWithTimeout(Math.max(1, untilMs - elapsedMs()));
    }
  }

  private async requestShares(): Promise<void> {
    const sentAt = monotonicMs();
    this.sequence += 1;
    const { gateway, groups, group } = this.options;
    const { incarnation, sequence } = this;
    const isPartial = this.mayRequestPartially(sentAt);
    const held = isPartial ? this.shares.heldByLowTenants(sentAt) : this.shares.held(sentAt);
    if (!isPartial) this.fullRequestAt = sentAt;
    const request: SharesRequest = { gateway, incarnation, sequence, held, isPartial };
    try {
      // No parallel attempts: if two leaders granted the same request, one would not know of the grant.
      const limits = { timeoutMs: REQUEST_TIMEOUT_MS, tryTimeoutMs: REQUEST_TIMEOUT_MS };
      this.applyResponse(await callLeader(groups, group, QUOTA_SHARES, request, limits), sentAt);
      this.noteRequestResult(true, '');
    } catch (error) {
      this.noteRequestResult(false, describeError(error));
    }
  }

  /** Whether a partial request suffices: the last full one is recent and was successful. */
  private mayRequestPartially(now: number): boolean {
    const isRecent = now - this.fullRequestAt < FULL_REQUEST_INTERVAL_MS;
    return isRecent && this.lastRequestSucceeded && this.shares.isLeased(now);
  }

  private applyResponse(response: SharesResponse, sentAt: number): void {
    if (response.term < this.term || response.confirmedAgeMs > LEADER_OVERLAP_MS) return;
    this.term = response.term;
    if (!response.shares) {
      this.fullRequestAt = Number.NEGATIVE_INFINITY;
      return;
    }
    const now = monotonicMs();
    const leaseEndsAt = sentAt - response.confirmedAgeMs + SHARE_LEASE_MS;
    this.refreshedAt = sentAt;
    if (leaseEndsAt > now) this.shares.applyGrants(response.shares, leaseEndsAt, now);
  }

  private noteRequestResult(succeeded: boolean, reason: string): void {
    if (this.lastRequestSucceeded === succeeded) return;
    this.lastRequestSucceeded = succeeded;
    if (succeeded) this.options.logger.info('shares of limits regained', {});
    else this.options.logger.warn('shares of limits not renewed', { reason });
  }
}

/** The factor by which a limit was lowered; 1 if it was not. */
function reductionFactor(previous: TenantLimit, after: TenantLimit): number {
  const rateFactor = after.ratePerSecond / previous.ratePerSecond;
  const burstFactor = previous.burst > 0 ? after.burst / previous.burst : 1;
  return Math.min(1, rateFactor, burstFactor);
}
