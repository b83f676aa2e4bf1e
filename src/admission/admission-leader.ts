/**
 * Leader side of shared admission: one decision for each service from the demand that all gateways report.
 * All state is soft; a new leader rebuilds it from the next reports.
 */
import { monotonicMs } from '../common/index.js';
import type { BackendRegistration } from '../directory/index.js';
import type { Logger } from '../observability/index.js';
import { type ReceivedReport, totalsByService } from './demand-totals.js';
import type { DemandReport, ServiceAdmission } from './messages.js';
import { type SlowdownLookup, serviceCapacities } from './service-capacity.js';
import { ServiceDecision, isLimited } from './service-decision.js';
import { validDemand } from './valid-demand.js';

/** Time after which a report expires, and after which a gateway that sends no watch requests is forgotten. */
const REPORT_TTL_MS = 1_500;
/** Minimum time between two decisions. */
const DECISION_INTERVAL_MS = 100;
/** Time after the first request of a gateway until all gateways have reported; one report interval. */
const WARM_UP_MS = 400;
/** Time without a limit after which a service is logged as admitted again. */
const UNLIMITED_AFTER_MS = 1_000;

export interface AdmissionLeaderOptions {
  backends: () => Iterable<BackendRegistration>;
  /** Whether a backend has missed heartbeats. */
  isSilent: (id: string) => boolean;
  /** @default every backend has normal speed */
  slowdownOf?: SlowdownLookup;
  logger: Logger;
  /** Monotonic, in milliseconds. @default monotonicMs */
  clock?: () => number;
}

export class AdmissionLeader {
  private readonly reports = new Map<string, ReceivedReport>();
  /** Time of the last watch request of each gateway that uses shared admission (monotonic, milliseconds). */
  private readonly requestedAt = new Map<string, number>();
  private readonly services = new Map<string, ServiceDecision>();
  /** When each limited service was last limited. */
  private readonly limitedAt = new Map<string, number>();
  private readonly clock: () => number;
  private firstRequestAt: number | undefined;
  private decidedAt = Number.NEGATIVE_INFINITY;
  private limited: ServiceAdmission[] = [];

  constructor(private readonly options: AdmissionLeaderOptions) {
    this.clock = options.clock ?? monotonicMs;
  }

  /** @param demand null if a gateway with shared admission has nothing new to report; undefined without shared admission */
  report(gateway: string, demand: DemandReport | null | undefined): void {
    if (demand === undefined) {
      this.requestedAt.delete(gateway);
      return;
    }
    this.requestedAt.set(gateway, this.clock());
    this.firstRequestAt ??= this.clock();
    if (demand) this.reports.set(gateway, { demand: validDemand(demand), at: this.clock() });
  }

  /** Services that are not admitted entirely; undefined until all gateways have reported, or without shared admission. */
  viewFor(gateway: string): ServiceAdmission[] | undefined {
    if (!this.requestedAt.has(gateway) || this.firstRequestAt === undefined) return undefined;
    const now = this.clock();
    // With reports of some gateways only, the sessions would seem to grow while the others report for the first time.
    if (now - this.firstRequestAt < WARM_UP_MS) return undefined;
    if (now - this.decidedAt >= DECISION_INTERVAL_MS) this.decide(now);
    return this.limited;
  }

  clear(): void {
    this.reports.clear();
    this.requestedAt.clear();
    this.services.clear();
    this.limitedAt.clear();
    this.limited = [];
    this.firstRequestAt = undefined;
    this.decidedAt = Number.NEGATIVE_INFINITY;
  }

  private decide(now: number): void {
    this.decidedAt = now;
    this.expireReports(now);
    const { backends, isSilent, slowdownOf } = this.options;
    const capacities = serviceCapacities(backends(), isSilent, slowdownOf);
    const totals = totalsByService(this.reports.values(), (service) => capacities.get(service));
    this.forgetServices(capacities);
    const decisions = [...totals].map(([service, demand]) =>
      this.decisionOf(service).decide(service, demand, capacities.get(service)!, now),
    );
    this.limited = decisions.filter(isLimited);
    this.logChanges(now);
  }

  private expireReports(now: number): void {
    for (const [gateway, { at }] of this.reports) {
      if (now - at > REPORT_TTL_MS) this.reports.delete(gateway);
    }
    for (const [gateway, requestedAt] of this.requestedAt) {
      if (now - requestedAt > REPORT_TTL_MS) this.requestedAt.delete(gateway);
    }
  }

  private forgetServices(capacities: ReadonlyMap<string, number>): void {
    for (const service of this.services.keys()) {
      if (!capacities.has(service)) this.services.delete(service);
    }
  }

  private decisionOf(service: string): ServiceDecision {
    let decision = this.services.get(service);
    if (!decision) {
      decision = new ServiceDecision();
      this.services.set(service, decision);
    }
    return decision;
  }

  private logChanges(now: number): void {
    const { logger } = this.options;
    for (const { service, pressure } of this.limited) {
      const isNew = !this.limitedAt.has(service);
      this.limitedAt.set(service, now);
      if (isNew) logger.info('programs limited', { service, pressure: pressure.toFixed(2) });
    }
    for (const [service, at] of this.limitedAt) {
      if (now - at < UNLIMITED_AFTER_MS) continue;
      this.limitedAt.delete(service);
      logger.info('programs admitted again', { service });
    }
  }
}
