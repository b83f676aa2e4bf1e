/** What callers ask of each service at one gateway, for the reports to the directory's leader. */
import { ActiveSessions } from './active-sessions.js';
import { DecayedRates } from './decayed-rates.js';
import type { DemandReport, OfferedRate, PriorityDemand, ServiceDemand } from './messages.js';

const SECONDS_PER_MINUTE = 60;
/** Lower rates would be reported as 0. */
const MIN_PROGRAMS_PER_SECOND = 1 / SECONDS_PER_MINUTE;
/** Maximum size of the entries of tenants in a report, in bytes; the whole report stays below 1 KB. */
const MAX_TENANT_BYTES = 640;
/** Encoded size of an entry without the tenant's name: two headers and an integer, in bytes. */
const ENTRY_OVERHEAD_BYTES = 6;

export interface TurnIdentity {
  service: string;
  priority: number;
  /** Identifies the session of a program; undefined for calls that belong to no program. */
  session?: string;
}

/** Priority and tenant as one key of the rates. */
interface OfferedKey {
  priority: number;
  tenant: string;
}

interface TrackedService {
  inFlight: number;
  sessions: ActiveSessions;
  offered: DecayedRates;
}

export class DemandTracker {
  private readonly services = new Map<string, TrackedService>();

  /** Records a program that begins or wants to begin; must be called once for each. */
  noteOffered(service: string, priority: number, tenant: string | undefined, now: number): void {
    this.trackedOf(service).offered.add(keyOf({ priority, tenant: tenant ?? '' }), now);
  }

  beginTurn({ service, priority, session }: TurnIdentity): void {
    const tracked = this.trackedOf(service);
    tracked.inFlight += 1;
    if (session !== undefined) tracked.sessions.begin(session, priority);
  }

  endTurn({ service, session }: TurnIdentity, now: number): void {
    const tracked = this.trackedOf(service);
    tracked.inFlight -= 1;
    if (session !== undefined) tracked.sessions.end(session, now);
  }

  /** The totals of all services with any demand. */
  report(now: number): DemandReport {
    const report: DemandReport = [];
    for (const [service, tracked] of this.services) {
      const priorities = prioritiesOf(tracked, now);
      if (tracked.inFlight === 0 && priorities.length === 0) this.services.delete(service);
      else report.push({ service, inFlight: tracked.inFlight, priorities });
    }
    return withinSize(report);
  }

  private trackedOf(service: string): TrackedService {
    let tracked = this.services.get(service);
    if (!tracked) {
      tracked = { inFlight: 0, sessions: new ActiveSessions(), offered: new DecayedRates() };
      this.services.set(service, tracked);
    }
    return tracked;
  }
}

function prioritiesOf({ sessions, offered }: TrackedService, now: number): PriorityDemand[] {
  const priorities = new Map<number, PriorityDemand>();
  const demandOf = (priority: number): PriorityDemand => {
    const known = priorities.get(priority) ?? { priority, sessions: 0, offered: [] };
    priorities.set(priority, known);
    return known;
  };
  for (const [priority, count] of sessions.countByPriority(now)) {
    demandOf(priority).sessions = count;
  }
  for (const [key, perSecond] of offered.take(now, MIN_PROGRAMS_PER_SECOND)) {
    const { priority, tenant } = parseKey(key);
    demandOf(priority).offered.push([tenant, Math.round(perSecond * SECONDS_PER_MINUTE)]);
  }
  return [...priorities.values()];
}

/** Reports the smallest tenants without their names if the report would become too large. */
function withinSize(report: DemandReport): DemandReport {
  const rates = report.flatMap(({ priorities }) => priorities.flatMap(({ offered }) => offered));
  rates.sort((left, right) => right[1] - left[1]);
  let bytes = 0;
  const named = new Set<OfferedRate>();
  for (const rate of rates) {
    bytes += Buffer.byteLength(rate[0]) + ENTRY_OVERHEAD_BYTES;
    if (bytes > MAX_TENANT_BYTES) break;
    named.add(rate);
  }
  return named.size === rates.length ? report : report.map((demand) => trimmed(demand, named));
}

function trimmed(demand: ServiceDemand, named: ReadonlySet<OfferedRate>): ServiceDemand {
  const priorities = demand.priorities.map((priority) => {
    const kept = priority.offered.filter((rate) => named.has(rate) && rate[0] !== '');
    const rest = priority.offered.filter((rate) => !kept.includes(rate));
    const restPerMinute = rest.reduce((sum, [, perMinute]) => sum + perMinute, 0);
    const offered: OfferedRate[] = restPerMinute > 0 ? [...kept, ['', restPerMinute]] : kept;
    return { ...priority, offered };
  });
  return { ...demand, priorities };
}

function keyOf({ priority, tenant }: OfferedKey): string {
  return `${priority} ${tenant}`;
}

function parseKey(key: string): OfferedKey {
  const end = key.indexOf(' ');
  return { priority: Number(key.slice(0, end)), tenant: key.slice(end + 1) };
}
