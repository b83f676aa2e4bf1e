/** Decisions of the leader from single reports. */
import { beforeEach, describe, expect, it } from 'vitest';
import { sampleRegistration } from '../../tests/support/directory-samples.js';
import { createLogger } from '../observability/index.js';
import { AdmissionLeader } from './admission-leader.js';
import { totalsByService } from './demand-totals.js';
import type { DemandReport, ServiceAdmission } from './messages.js';
import { effectiveSlots, serviceCapacities } from './service-capacity.js';

const REPORT_TTL_MS = 1_500;
/** Longer than the time in which a new leader has heard all gateways, in milliseconds. */
const WARM_UP_MS = 500;

let now = 0;
beforeEach(() => {
  now = 0;
});

function reportOf(sessions: number): DemandReport {
  const priorities = [{ priority: 0, sessions, offered: [] }];
  return [{ service: 's', inFlight: sessions, priorities }];
}

function createLeader(slots: number): AdmissionLeader {
  return new AdmissionLeader({
    backends: () => [sampleRegistration({ id: 'e1', service: 's', slots })],
    isSilent: () => false,
    logger: createLogger({}),
    clock: () => now,
  });
}

function reportFromAll(leader: AdmissionLeader, sessions: number): void {
  for (const gateway of ['a', 'b', 'c']) leader.report(gateway, reportOf(sessions));
}

describe('the admission leader', () => {
  it('decides nothing until the gateways have had time to report', () => {
    const leader = createLeader(6);
    reportFromAll(leader, 4);
    expect(leader.viewFor('a')).toBeUndefined();
    now += WARM_UP_MS;
    expect(leader.viewFor('a')?.map(({ service }) => service)).toEqual(['s']);
    leader.clear();
    reportFromAll(leader, 4);
    expect(leader.viewFor('a')).toBeUndefined();
  });

  it('lists no service that is admitted entirely', () => {
    const leader = createLeader(60);
    reportFromAll(leader, 4);
    now += WARM_UP_MS;
    expect(leader.viewFor('a')).toEqual([]);
  });

  it('sends nothing to gateways in independent mode', () => {
    const leader = createLeader(6);
    leader.report('a', undefined);
    now += WARM_UP_MS;
    expect(leader.viewFor('a')).toBeUndefined();
  });

  it('forgets the report of a gateway that is not heard any more', () => {
    const leader = createLeader(6);
    reportFromAll(leader, 4);
    now += WARM_UP_MS;
    expect(leader.viewFor('a')).toHaveLength(1);
    now += REPORT_TTL_MS;
    leader.report('a', null);
    expect(leader.viewFor('a')).toEqual([]);
  });
});

describe('a gateway that has gone', () => {
  // The set would otherwise grow with every gateway that has ever run.
  it('is forgotten although it never left the coordinated mode', () => {
    const leader = createLeader(6);
    reportFromAll(leader, 4);
    now += REPORT_TTL_MS + 1;
    leader.report('a', null);
    expect(leader.viewFor('a')).toEqual([]);
    expect(leader.viewFor('b')).toBeUndefined();
  });
});

describe('a false report', () => {
  const viewWith = (falsified?: unknown, slots = 6): ServiceAdmission => {
    const leader = createLeader(slots);
    reportFromAll(leader, 4);
    if (falsified !== undefined) leader.report('liar', falsified as DemandReport);
    now += WARM_UP_MS;
    return leader.viewFor('a')![0]!;
  };
  const limitsWith = (falsified?: unknown): unknown => viewWith(falsified).priorities;

  function withPriorities(...priorities: unknown[]): unknown {
    return [{ service: 's', inFlight: 0, priorities }];
  }

  // A rank of its own would lower the fraction of every other priority.
  it('adds no rank for a priority without demand', () => {
    const honest = limitsWith();
    for (const priority of [-1, 0.5, 1, 9]) {
      const offered = [['', 0]];
      expect(limitsWith(withPriorities({ priority, sessions: 0, offered: [] }))).toEqual(honest);
      expect(limitsWith(withPriorities({ priority, sessions: 0, offered }))).toEqual(honest);
    }
  });

  it('adds no rank for a priority that none can have', () => {
    const honest = limitsWith();
    for (const priority of [-1, 0.5, NaN, Infinity, '0', null]) {
      const offered = [['', 60]];
      expect(limitsWith(withPriorities({ priority, sessions: 1, offered }))).toEqual(honest);
    }
  });

  it('does not fail the decision for other gateways', () => {
    const honest = limitsWith();
    const entries = [null, 1, {}, { service: 's' }, { service: 's', priorities: 1 }];
    const priorities = [null, 1, {}, { priority: 1, sessions: 1 }];
    for (const entry of entries) expect(limitsWith([entry])).toEqual(honest);
    for (const priority of priorities) expect(limitsWith(withPriorities(priority))).toEqual(honest);
    for (const report of ['text', 1, { service: 's' }]) expect(limitsWith(report)).toEqual(honest);
  });

  it('counts with at most 16 priorities', () => {
    const many = Array.from({ length: 40 }, (_, priority) => ({
      priority,
      sessions: 1,
      offered: [],
    }));
    expect(limitsWith(withPriorities(...many))).toHaveLength(16);
  });

  it('counts once for a service, so that repeated entries do not exceed the limit of a gateway', () => {
    const once = viewWith(reportOf(4), 12);
    expect(viewWith([...reportOf(4), ...reportOf(1e9), ...reportOf(1e9)], 12)).toEqual(once);
  });
});

describe('totals of the reports', () => {
  const totalsOf = (sessions: number[], capacity: number): number => {
    const reports = sessions.map((count) => ({ demand: reportOf(count), at: 0 }));
    return totalsByService(reports, () => capacity).get('s')!.sessions;
  };

  it('count one gateway as at most three times the median', () => {
    expect(totalsOf([4, 4, 4, 4, 1e9], 20)).toBe(4 * 4 + 12);
    expect(totalsOf([4, 4, 4, 4, Infinity], 20)).toBe(16);
    expect(totalsOf([4, 4, 4, 4, -50], 20)).toBe(16);
  });

  it('count a gateway for its share of the capacity although the others are idle', () => {
    expect(totalsOf([0, 0, 0, 0, 4], 20)).toBe(4);
  });

  it('ignore services without backends', () => {
    const reports = [{ demand: reportOf(4), at: 0 }];
    expect(totalsByService(reports, () => undefined).size).toBe(0);
  });
});

describe('the capacity of a service', () => {
  const backends = [
    sampleRegistration({ id: 'ready', service: 's', slots: 6 }),
    sampleRegistration({ id: 'silent', service: 's', slots: 6 }),
    sampleRegistration({ id: 'draining', service: 's', slots: 6, phase: 'draining' }),
    sampleRegistration({ id: 'slow', service: 's', slots: 6 }),
  ];
  const isSilent = (id: string): boolean => id === 'silent';

  it('counts ready backends that are heard', () => {
    expect(serviceCapacities(backends, isSilent).get('s')).toBe(12);
  });

  it('divides the slots of a slow backend by its slowdown', () => {
    const slowdownOf = (id: string): number | undefined => (id === 'slow' ? 3 : undefined);
    expect(serviceCapacities(backends, isSilent, slowdownOf).get('s')).toBe(6 + 2);
    expect(effectiveSlots(6)).toBe(6);
  });
});
