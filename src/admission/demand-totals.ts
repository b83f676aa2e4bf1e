/** Sums the demand reports of all gateways by service, with a limit on what one gateway can claim. */
import type { DemandReport, ServiceDemand } from './messages.js';
import { countOf } from './valid-demand.js';

/** One gateway counts as at most this multiple of the median gateway. */
const MAX_MEDIANS = 3;
const SECONDS_PER_MINUTE = 60;

export interface ReceivedReport {
  demand: DemandReport;
  /** When it arrived (monotonic, milliseconds). */
  at: number;
}

export interface PriorityTotals {
  /** Offered programs per second of all tenants and of programs without a tenant. */
  offeredPerSecond: number;
  byTenant: Map<string, number>;
}

export interface ServiceTotals {
  sessions: number;
  inFlight: number;
  priorities: Map<number, PriorityTotals>;
  /** Mean arrival of the reports, weighted by their sessions (monotonic, milliseconds). */
  measuredAt: number;
}

/** The demand of one gateway for one service, with its sums. */
interface Claim {
  demand: ServiceDemand;
  at: number;
  sessions: number;
  inFlight: number;
  offered: number;
}

/** @param capacityOf calls that the service's backends can process at once */
export function totalsByService(
  reports: Iterable<ReceivedReport>,
  capacityOf: (service: string) => number | undefined,
): Map<string, ServiceTotals> {
  const claims = new Map<string, Claim[]>();
  for (const { demand, at } of reports) {
    for (const entry of demand) {
      if (capacityOf(entry.service) === undefined) continue;
      const list = claims.get(entry.service) ?? [];
      claims.set(entry.service, list);
      list.push(claimOf(entry, at));
    }
  }
  return new Map(
    [...claims].map(([service, list]) => [service, sumOf(list, capacityOf(service)!)]),
  );
}

function claimOf(demand: ServiceDemand, at: number): Claim {
  const sessions = sum(demand.priorities.map((priority) => countOf(priority.sessions)));
  const offered = sum(
    demand.priorities.flatMap((priority) => priority.offered.map(([, rate]) => countOf(rate))),
  );
  return { demand, at, sessions, inFlight: countOf(demand.inFlight), offered };
}

/**
 * A gateway always counts for its share of the capacity: while most gateways have hardly any calls, the median says
 * nothing about a false report, and a single share cannot cause a refusal.
 */
function sumOf(claims: Claim[], capacity: number): ServiceTotals {
  const share = capacity / claims.length;
  const sessionLimit = limitOf(claims, (claim) => claim.sessions, share);
  const inFlightLimit = limitOf(claims, (claim) => claim.inFlight, share);
  const offeredLimit = limitOf(claims, (claim) => claim.offered, 0);
  const totals: ServiceTotals = {
    sessions: 0,
    inFlight: 0,
    priorities: new Map(),
    measuredAt: 0,
  };
  let weightedAt = 0;
  let weight = 0;
  for (const claim of claims) {
    const sessions = Math.min(claim.sessions, sessionLimit);
    totals.sessions += sessions;
    totals.inFlight += Math.min(claim.inFlight, inFlightLimit);
    addOffered(totals, claim, claim.offered > offeredLimit ? offeredLimit / claim.offered : 1);
    weightedAt += claim.at * (sessions + 1);
    weight += sessions + 1;
  }
  totals.measuredAt = weightedAt / weight;
  return totals;
}

function limitOf(claims: Claim[], read: (claim: Claim) => number, minimum: number): number {
  const values = claims.map(read).filter((value) => value > 0);
  values.sort((left, right) => left - right);
  const median = values[Math.floor((values.length - 1) / 2)] ?? 0;
  return Math.max(MAX_MEDIANS * median, minimum);
}

function addOffered(totals: ServiceTotals, { demand }: Claim, scale: number): void {
  for (const { priority, offered } of demand.priorities) {
    let total = totals.priorities.get(priority);
    if (!total) {
      total = { offeredPerSecond: 0, byTenant: new Map() };
      totals.priorities.set(priority, total);
    }
    for (const [tenant, perMinute] of offered) {
      const perSecond = (countOf(perMinute) * scale) / SECONDS_PER_MINUTE;
      total.offeredPerSecond += perSecond;
      if (tenant !== '') {
        total.byTenant.set(tenant, (total.byTenant.get(tenant) ?? 0) + perSecond);
      }
    }
  }
}

function sum(values: number[]): number {
  return values.reduce((total, value) => total + value, 0);
}
