/** What the directory's leader concludes from the reports of gateways. */
import { describe, expect, it } from 'vitest';
import { type Logger, createLogger } from '../observability/index.js';
import {
  type BackendCondition,
  type BackendTally,
  encodeReport,
  unpackConditions,
} from './messages.js';
import { BackendStatisticsStore } from './statistics-store.js';

const GATEWAYS = 60;
const BACKENDS = ['a', 'b', 'c', 'd', 'e'];
const WARM_UP_MS = 1_200;
const REPORT_TTL_MS = 1_500;

function tally(id: string, overrides: Partial<BackendTally> = {}): BackendTally {
  return { id, weight: 0.36, logRatios: 0, calls: 0.18, failures: 0, ...overrides };
}

function leader(logger: Logger = createLogger({})) {
  const clock = { now: 0 };
  const backends = new Map(BACKENDS.map((id) => [id, { service: 's' }]));
  const store = new BackendStatisticsStore({
    backends: () => backends,
    logger,
    clock: () => clock.now,
  });
  const report = (gateway: number, zone: string, tallies: BackendTally[]): void =>
    store.report(`g${gateway}`, zone, encodeReport(tallies));
  /** Reports of honest gateways in three zones. */
  const reportHonestly = (overrides: Record<string, Partial<BackendTally>> = {}): void => {
    for (let gateway = 0; gateway < GATEWAYS; gateway += 1) {
      const tallies = BACKENDS.map((id) => tally(id, overrides[id]));
      report(gateway, `z${gateway % 3}`, tallies);
    }
  };
  const conditions = (): BackendCondition[] => {
    const packed = store.viewFor();
    if (!packed) throw new Error('no view yet');
    return unpackConditions(packed);
  };
  return { clock, backends, store, report, reportHonestly, conditions };
}

describe("the leader's statistics", () => {
  it('has no view until every gateway could report', () => {
    const { clock, store, reportHonestly, conditions } = leader();
    expect(store.viewFor()).toBeUndefined();
    reportHonestly();
    expect(store.viewFor()).toBeUndefined();
    clock.now = WARM_UP_MS;
    reportHonestly();
    expect(conditions()).toEqual([]);
  });

  it('reports only backends that differ from the median of their service', () => {
    const { clock, reportHonestly, conditions } = leader();
    const allSlower = { logRatios: 0.36 * Math.log(3) };
    const reports = Object.fromEntries(BACKENDS.map((id) => [id, allSlower]));
    reports.b = { logRatios: 0.36 * Math.log(6) };
    reportHonestly(reports);
    clock.now = WARM_UP_MS;
    reportHonestly(reports);
    const found = conditions();
    expect(found.map(({ id }) => id)).toContain('b');
    expect(found.find(({ id }) => id === 'b')!.slowdown).toBeGreaterThan(1.7);
    for (const { id, slowdown } of found) if (id !== 'b') expect(slowdown).toBeLessThan(1.3);
  });

  it('does not believe one gateway that reports a backend as slow and failing', () => {
    const { clock, report, reportHonestly, conditions } = leader();
    for (clock.now = 0; clock.now <= 4_000; clock.now += 100) {
      reportHonestly();
      const lie = { weight: 1_000, logRatios: 2_079, calls: 1_000, failures: 1_000 };
      report(GATEWAYS, 'z0', [tally('a', lie)]);
      if (clock.now < WARM_UP_MS) continue;
      const found = conditions().find(({ id }) => id === 'a');
      expect(found?.failingZones).toBeUndefined();
      expect(found?.slowdown ?? 1).toBeLessThan(1.15);
    }
  });

  it('limits ratios that no gateway can have observed', () => {
    for (const logRatios of [1e9, -1e9, 1.7e308]) {
      const { clock, report, reportHonestly, conditions } = leader();
      for (clock.now = 0; clock.now <= 2_000; clock.now += 100) {
        reportHonestly();
        report(GATEWAYS, 'z0', [tally('a', { weight: 0.5, logRatios })]);
      }
      for (const { slowdown = 1 } of conditions()) {
        expect(slowdown).toBeGreaterThan(0.85);
        expect(slowdown).toBeLessThan(1.15);
      }
    }
  });

  it('does not take the failures of one zone and of one gateway elsewhere for those of all', () => {
    const { clock, report, reportHonestly, conditions } = leader();
    for (clock.now = 0; clock.now <= 4_000; clock.now += 100) {
      reportHonestly();
      const failing = { calls: 2, failures: 2 };
      for (let gateway = 0; gateway < 4; gateway += 1) {
        report(GATEWAYS + 1 + gateway, 'z9', [tally('a', failing)]);
      }
      report(GATEWAYS, 'z0', [tally('a', { calls: 3, failures: 3 })]);
      if (clock.now < WARM_UP_MS) continue;
      const found = conditions().find(({ id }) => id === 'a');
      expect(found?.failingZones ?? []).not.toContain('*');
    }
  });

  it('does not take a broken link of one gateway for a failure, even without other calls', () => {
    const { clock, report, conditions } = leader();
    for (clock.now = 0; clock.now <= 4_000; clock.now += 100) {
      report(1, 'z0', [tally('a', { calls: 5, failures: 5 })]);
      report(2, 'z0', [tally('b')]);
      if (clock.now >= WARM_UP_MS) {
        expect(conditions().some(({ failingZones }) => failingZones)).toBe(false);
      }
    }
  });

  it.each([
    { failingZones: ['z1'], expected: ['z1'] },
    { failingZones: ['z0', 'z1'], expected: ['*'] },
  ])('limits a failure to one zone, and to all if two agree: $failingZones', (example) => {
    const { clock, report, reportHonestly, conditions } = leader();
    reportHonestly();
    for (clock.now = WARM_UP_MS; clock.now <= 2_400; clock.now += 100) {
      reportHonestly();
      for (let gateway = 0; gateway < GATEWAYS; gateway += 1) {
        const zone = `z${gateway % 3}`;
        if (!example.failingZones.includes(zone)) continue;
        report(gateway, zone, [tally('a', { calls: 0.5, failures: 0.3 })]);
      }
      conditions();
    }
    const found = conditions().find(({ id }) => id === 'a');
    expect(found?.failingZones).toEqual(example.expected);
  });

  it('ignores backends that are not registered, and values that no gateway can have counted', () => {
    const { clock, backends, report, store } = leader();
    backends.delete('a');
    report(1, 'z0', [tally('a', { logRatios: 0.7 }), tally('gone', { logRatios: 0.7 })]);
    const broken = { ...encodeReport([tally('b')]), weights: [Number.NaN], calls: [-1] };
    store.report('g2', 'z0', broken);
    store.report('g3', 'z0', { ...broken, weights: [], calls: [] });
    clock.now = WARM_UP_MS;
    expect(unpackConditions(store.viewFor()!)).toEqual([]);
  });

  it('forgets everything when leadership changes', () => {
    const { clock, store, reportHonestly } = leader();
    reportHonestly();
    clock.now = WARM_UP_MS;
    expect(store.viewFor()).toBeDefined();
    store.clear();
    expect(store.viewFor()).toBeUndefined();
  });

  it('forgets gateways that no longer report', () => {
    const { clock, store, reportHonestly } = leader();
    reportHonestly();
    clock.now = REPORT_TTL_MS + 100;
    expect(store.viewFor()).toBeUndefined();
  });

  it('logs a failure once when it begins and once when it ends', () => {
    const lines: string[] = [];
    const note = (message: string): number => lines.push(message);
    const logger = { debug: note, info: note, warn: note, error: note };
    const { clock, reportHonestly, store } = leader(logger);
    reportHonestly();
    store.viewFor();
    for (clock.now = 100; clock.now <= 5_000; clock.now += 100) {
      reportHonestly({ a: clock.now < 2_000 ? { calls: 0.5, failures: 0.3 } : {} });
      store.viewFor();
    }
    expect(lines).toEqual(['back end failing', 'back end no longer failing']);
  });
});
