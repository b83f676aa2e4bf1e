/**
 * Simulates gateways and leaders that share the limits of tenants: the real registry and shares, with message delay
 * and loss, failures of gateways and leaders, and tenants whose calls move between gateways.
 */
import { SeededRandom } from '../../src/common/random.js';
import type { HeldShare, SharesResponse } from '../../src/quotas/messages.js';
import { GatewayShares } from '../../src/quotas/gateway-shares.js';
import type { TenantLimit } from '../../src/quotas/quota-budget.js';
import { ShareRegistry } from '../../src/quotas/share-registry.js';

export const WINDOW_MS = 5_000;
export const TOLERANCE = { over: 0.1, slack: 20, windowMs: WINDOW_MS };
const LEASE_MS = 3_500;
const STEP_MS = 5;
const MAX_WAIT_MS = 250;
const FULL_REPORT_INTERVAL_MS = 500;
const MIN_REPORT_INTERVAL_MS = 40;
/** Maximum time for which a partitioned leader still responds before it steps down. */
const STEP_DOWN_MS = 300;

export interface SimulatedTenant {
  name: string;
  limit: TenantLimit;
  /** Call rate over time, as a multiple of the limit's rate. */
  load: (atMs: number) => number;
  /** Indexes of the gateways that receive its calls. */
  gateways: number[];
}

export type SimulatedEvent =
  | { kind: 'kill-gateway'; at: number; gateway: number; forMs: number }
  | { kind: 'cut-gateway'; at: number; gateway: number; forMs: number }
  | { kind: 'change-leader'; at: number; withoutMs: number; overlapMs: number }
  /** Calls that get a token in this time wait for `afterMs`, as for a ledger that is away, and are then refused. */
  | { kind: 'refuse-calls'; at: number; forMs: number; afterMs: number }
  | { kind: 'lower-limit'; at: number; tenant: number; factor: number };

export interface QuotaSimulationOptions {
  gateways: number;
  tenants: SimulatedTenant[];
  events: SimulatedEvent[];
  lengthMs: number;
  seed: number;
  headroom?: number;
  /** Maximum time between a call's token and its run, in milliseconds. @default 0 */
  maxDelayMs?: number;
}

/** A call that ran. */
export interface SimulatedRun {
  sentAt: number;
  ranAt: number;
}

export interface TenantOutcome {
  /** Times at which calls got their tokens, in milliseconds. */
  passedAt: number[];
  runs: SimulatedRun[];
  /** Calls that one central token bucket would have admitted. */
  idealCount: number;
  callCount: number;
  waited: number;
}

interface DelayedResponse extends SharesResponse {
  sentAt: number;
  arrivesAt: number;
}

interface Leader {
  term: number;
  registry: ShareRegistry;
  leadsFrom: number;
  /** Time until which a majority confirms its leadership. */
  confirmedUntil: number;
  respondsUntil: number;
}

interface ShareReport {
  index: number;
  gateway: SimulatedGateway;
  held: HeldShare[];
  isPartial: boolean;
}

/** A call that waits for a token. */
interface Waiting {
  tenant: number;
  sentAt: number;
  until: number;
}

/** A call that has its token. */
interface Admitted {
  tenant: number;
  sentAt: number;
  endsAt: number;
  isRefused: boolean;
}

class SimulatedGateway {
  shares = new GatewayShares();
  incarnation = 0;
  sequence = 0;
  term = 0;
  upAt = 0;
  cutUntil = 0;
  reportedAt = Number.NEGATIVE_INFINITY;
  fullReportAt = Number.NEGATIVE_INFINITY;
  isReportNeeded = false;
  response: DelayedResponse | undefined;
  waiting: Waiting[] = [];
  admitted: Admitted[] = [];

  restart(upAt: number): void {
    this.shares = new GatewayShares();
    this.incarnation += 1;
    this.sequence = 0;
    this.term = 0;
    this.response = undefined;
    this.waiting = [];
    this.admitted = [];
    this.upAt = upAt;
    this.reportedAt = Number.NEGATIVE_INFINITY;
    this.fullReportAt = Number.NEGATIVE_INFINITY;
  }
}

export class QuotaSimulation {
  readonly outcomes: TenantOutcome[];
  reportCount = 0;
  private readonly random: SeededRandom;
  private readonly gateways: SimulatedGateway[];
  private readonly ideal: { tokens: number; at: number }[];
  private readonly limits: TenantLimit[];
  private leaders: Leader[] = [];
  private readonly gatewayNames = new Set<string>();
  private readonly sharedTenants = new Set<string>();
  private term = 0;
  private leaderlessUntil = 0;
  private refusal: { until: number; afterMs: number } = { until: 0, afterMs: 0 };

  constructor(private readonly options: QuotaSimulationOptions) {
    this.random = new SeededRandom(options.seed);
    this.gateways = Array.from({ length: options.gateways }, () => new SimulatedGateway());
    this.limits = options.tenants.map(({ limit }) => limit);
    this.ideal = this.limits.map(({ burst }) => ({ tokens: burst, at: 0 }));
    this.outcomes = this.limits.map(() => ({
      passedAt: [],
      runs: [],
      idealCount: 0,
      callCount: 0,
      waited: 0,
    }));
  }

  run(): void {
    this.elect(0);
    const events = [...this.options.events].sort((left, right) => left.at - right.at);
    for (let now = 0; now < this.options.lengthMs; now += STEP_MS) {
      while (events[0] && events[0].at <= now) this.apply(events.shift()!, now);
      if (this.leaderlessUntil > 0 && now >= this.leaderlessUntil) this.elect(now);
      for (const index of this.gateways.keys()) this.stepGateway(index, now);
      for (const index of this.options.tenants.keys()) this.stepTenant(index, now);
    }
  }

  private apply(event: SimulatedEvent, now: number): void {
    if (event.kind === 'kill-gateway') this.gateways[event.gateway]!.restart(now + event.forMs);
    if (event.kind === 'cut-gateway') this.gateways[event.gateway]!.cutUntil = now + event.forMs;
    if (event.kind === 'lower-limit') this.lowerLimit(event.tenant, event.factor, now);
    if (event.kind === 'refuse-calls')
      this.refusal = { until: now + event.forMs, afterMs: event.afterMs };
    if (event.kind !== 'change-leader') return;
    const leader = this.leaders.at(-1);
    if (leader) {
      leader.confirmedUntil = now;
      leader.respondsUntil = now + Math.min(STEP_DOWN_MS, event.overlapMs);
    }
    this.leaderlessUntil = now + event.withoutMs;
  }

  private elect(now: number): void {
    this.term += 1;
    this.leaderlessUntil = 0;
    const { headroom } = this.options;
    const registry = new ShareRegistry({
      tolerance: TOLERANCE,
      leaseMs: LEASE_MS,
      overlapMs: STEP_DOWN_MS,
      mayShare: (tenant) => this.sharedTenants.has(tenant),
      headroom,
    });
    registry.begin({ gateways: this.gatewayNames, tenants: this.sharedTenants }, now);
    registry.setLimits(this.limitsWithNames(), now);
    const leader: Leader = {
      term: this.term,
      registry,
      leadsFrom: now,
      confirmedUntil: Infinity,
      respondsUntil: Infinity,
    };
    this.leaders = [...this.leaders.slice(-1), leader];
  }

  private limitsWithNames() {
    return this.options.tenants.map(({ name }, index) => ({ name, ...this.limits[index]! }));
  }

  private lowerLimit(tenant: number, factor: number, now: number): void {
    const { ratePerSecond, burst } = this.limits[tenant]!;
    this.limits[tenant] = { ratePerSecond: ratePerSecond * factor, burst: burst * factor };
    for (const { registry } of this.leaders) registry.setLimits(this.limitsWithNames(), now);
    const { name } = this.options.tenants[tenant]!;
    for (const { shares } of this.gateways) shares.scaleDown(name, factor, now);
  }

  private stepGateway(index: number, now: number): void {
    const gateway = this.gateways[index]!;
    if (now < gateway.upAt) return;
    if (gateway.response && now >= gateway.response.arrivesAt) this.receiveResponse(gateway, now);
    this.serveWaiting(gateway, now);
    this.endAdmitted(gateway, now);
    const sinceReportMs = now - gateway.reportedAt;
    const isDue =
      now - gateway.fullReportAt >= FULL_REPORT_INTERVAL_MS ||
      (gateway.isReportNeeded && sinceReportMs >= MIN_REPORT_INTERVAL_MS) ||
      gateway.shares.isAnyWaiting;
    if (isDue && !gateway.response) this.sendReport(index, gateway, now);
  }

  private sendReport(index: number, gateway: SimulatedGateway, now: number): void {
    const isPartial =
      now - gateway.fullReportAt < FULL_REPORT_INTERVAL_MS && gateway.shares.isLeased(now);
    const held = isPartial ? gateway.shares.heldByLowTenants(now) : gateway.shares.held(now);
    if (!isPartial) gateway.fullReportAt = now;
    gateway.isReportNeeded = false;
    gateway.reportedAt = now;
    gateway.sequence += 1;
    this.reportCount += 1;
    if (now < gateway.cutUntil) return;
    const leader = this.leaderFor(now);
    if (!leader) return;
    const delayMs = 1 + this.random.uniform() * 8;
    gateway.response = this.handleReport(
      leader,
      { index, gateway, held, isPartial },
      now,
      now + delayMs,
    );
  }

  /** Picks a responding leader, which may already have a successor. */
  private leaderFor(now: number): Leader | undefined {
    const responding = this.leaders.filter(
      ({ leadsFrom, respondsUntil }) => leadsFrom <= now && now < respondsUntil,
    );
    return responding[Math.floor(this.random.uniform() * responding.length)];
  }

  private handleReport(
    { registry, term, confirmedUntil }: Leader,
    { index, gateway: { incarnation, sequence }, held, isPartial }: ShareReport,
    sentAt: number,
    at: number,
  ): DelayedResponse {
    const gateway = `gateway-${index}`;
    this.gatewayNames.add(gateway);
    const request = { gateway, incarnation: String(incarnation), sequence, held, isPartial };
    const shares = registry.report(request, at);
    for (const tenant of registry.takePendingTenants()) this.sharedTenants.add(tenant);
    const confirmedAgeMs = Math.max(0, at - confirmedUntil);
    return {
      term,
      confirmedAgeMs,
      shares,
      sentAt,
      arrivesAt: at + 1 + this.random.uniform() * 8,
    };
  }

  private receiveResponse(gateway: SimulatedGateway, now: number): void {
    const response = gateway.response!;
    gateway.response = undefined;
    const isLate = response.confirmedAgeMs > STEP_DOWN_MS;
    if (now < gateway.cutUntil || isLate || response.term < gateway.term) return;
    gateway.term = response.term;
    const leaseEndsAt = response.sentAt - response.confirmedAgeMs + LEASE_MS;
    if (!response.shares) gateway.fullReportAt = Number.NEGATIVE_INFINITY;
    else if (leaseEndsAt > now) gateway.shares.applyGrants(response.shares, leaseEndsAt, now);
  }

  private serveWaiting(gateway: SimulatedGateway, now: number): void {
    gateway.waiting = gateway.waiting.filter(({ tenant, sentAt, until }) => {
      const { name } = this.options.tenants[tenant]!;
      const isTaken = gateway.shares.take(name, false, now);
      if (isTaken) this.admit(gateway, { tenant, sentAt }, now);
      const isOver = isTaken || now >= until || gateway.shares.isScarce(name, now);
      if (isOver) gateway.shares.noteWaiting(name, -1, now);
      return !isOver;
    });
  }

  private admit(
    gateway: SimulatedGateway,
    { tenant, sentAt }: Pick<Admitted, 'tenant' | 'sentAt'>,
    now: number,
  ): void {
    this.outcomes[tenant]!.passedAt.push(now);
    const isRefused = now < this.refusal.until;
    const delayMs = isRefused ? this.refusal.afterMs : this.drawDelayMs();
    gateway.admitted.push({ tenant, sentAt, endsAt: now + delayMs, isRefused });
  }

  private drawDelayMs(): number {
    const { maxDelayMs = 0 } = this.options;
    return maxDelayMs > 0 ? this.random.uniform() * maxDelayMs : 0;
  }

  /** Runs or refuses the calls whose time has come. */
  private endAdmitted(gateway: SimulatedGateway, now: number): void {
    gateway.admitted = gateway.admitted.filter((call) => {
      if (now < call.endsAt) return true;
      const { tenant, sentAt, isRefused } = call;
      if (!isRefused) this.outcomes[tenant]!.runs.push({ sentAt, ranAt: now });
      return false;
    });
  }

  private stepTenant(index: number, now: number): void {
    const { limit, load, gateways } = this.options.tenants[index]!;
    const expected = (load(now) * limit.ratePerSecond * STEP_MS) / 1_000;
    let calls = Math.floor(expected) + (this.random.uniform() < expected % 1 ? 1 : 0);
    for (; calls > 0; calls -= 1) {
      const available = gateways.filter((gateway) => now >= this.gateways[gateway]!.upAt);
      // Calls to a failed gateway are sent to others.
      const via =
        available.length > 0
          ? available
          : [...this.gateways.keys()].filter((gateway) => now >= this.gateways[gateway]!.upAt);
      const chosen = via[Math.floor(this.random.uniform() * via.length)];
      if (chosen !== undefined) this.call(index, this.gateways[chosen]!, now);
    }
  }

  private call(index: number, gateway: SimulatedGateway, now: number): void {
    const { name } = this.options.tenants[index]!;
    const outcome = this.outcomes[index]!;
    outcome.callCount += 1;
    if (this.takeIdealToken(index, now)) outcome.idealCount += 1;
    const { shares } = gateway;
    shares.noteCall(name, now);
    const isTaken = shares.take(name, false, now);
    if (shares.isLow(name, now)) gateway.isReportNeeded = true;
    if (isTaken) this.admit(gateway, { tenant: index, sentAt: now }, now);
    else if (!shares.isScarce(name, now)) {
      outcome.waited += 1;
      shares.noteWaiting(name, 1, now);
      gateway.waiting.push({ tenant: index, sentAt: now, until: now + MAX_WAIT_MS });
    }
  }

  /** Takes a token from the ideal central bucket. @returns whether it had one */
  private takeIdealToken(index: number, now: number): boolean {
    const { ratePerSecond, burst } = this.limits[index]!;
    const ideal = this.ideal[index]!;
    ideal.tokens = Math.min(burst, ideal.tokens + ((now - ideal.at) / 1_000) * ratePerSecond);
    ideal.at = now;
    if (ideal.tokens < 1) return false;
    ideal.tokens -= 1;
    return true;
  }
}

/** Maximum number of calls in any window. */
export function maxInWindow(passedAt: readonly number[], windowMs = WINDOW_MS): number {
  let most = 0;
  let first = 0;
  for (const [last, at] of passedAt.entries()) {
    while (at - passedAt[first]! > windowMs) first += 1;
    most = Math.max(most, last - first + 1);
  }
  return most;
}

/**
 * Maximum number of calls that were both sent and run within one window.
 * @param runs none of which took longer than the window
 */
export function maxRunsInWindow(runs: readonly SimulatedRun[], windowMs = WINDOW_MS): number {
  const sentAt = runs.map((run) => run.sentAt).sort((left, right) => left - right);
  const ranAt = runs.map((run) => run.ranAt).sort((left, right) => left - right);
  let most = 0;
  let ended = 0;
  for (const [sentBefore, from] of sentAt.entries()) {
    while (ended < ranAt.length && ranAt[ended]! <= from + windowMs) ended += 1;
    // Calls that were sent before the window ran before its end.
    most = Math.max(most, ended - sentBefore);
  }
  return most;
}

export function allowedInWindow({ ratePerSecond, burst }: TenantLimit): number {
  const { over, slack } = TOLERANCE;
  return (ratePerSecond * (WINDOW_MS / 1_000) + burst) * (1 + over) + slack;
}
