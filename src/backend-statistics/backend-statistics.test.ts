/** Counting and use of shared statistics at one gateway. */
import { Registry } from 'prom-client';
import { describe, expect, it } from 'vitest';
import { encodeValue } from '../wire/index.js';
import type { AttemptEnd } from './attempt-result.js';
import { resultOfAttempt } from './attempt-result.js';
import { BackendStatistics } from './backend-statistics.js';
import { callsOverCache } from './cache-memory.js';
import { decodeReport, packConditions } from './messages.js';
import {
  MAX_REPORT_BYTES,
  MIN_REPORT_INTERVAL_MS,
  REPORT_INTERVAL_MS,
} from './statistics-collector.js';
import { StatisticsMetrics } from './statistics-metrics.js';
import { meanUnseenCalls } from './unseen-calls.js';

const ANSWERED: AttemptEnd = {
  kind: 'complete',
  isFaulty: false,
  isGivenUp: false,
  wasPaused: false,
  tookMs: 200,
  silentMs: 0,
  estimatedMs: 200,
  slowdown: 1,
};

function gateway(zone = 'z1') {
  const clock = { now: 0 };
  const registry = new Registry();
  const metrics = new StatisticsMetrics(registry);
  const statistics = new BackendStatistics({ zone, metrics, clock: () => clock.now });
  statistics.setMode('coordinated');
  return { clock, registry, statistics };
}

describe('reports', () => {
  it('are totals, so that a lost or repeated one does no harm', () => {
    const { clock, statistics } = gateway();
    statistics.noteDuration('a', 400, 200);
    statistics.noteAttempt('a', ANSWERED);
    const [first] = decodeReport(statistics.takeReport()!);
    expect(first).toMatchObject({ id: 'a', weight: 1, calls: 1, failures: 0 });
    expect(first!.logRatios).toBeCloseTo(Math.LN2, 2);
    clock.now = 2_000;
    const [second] = decodeReport(statistics.takeReport()!);
    expect(second!.weight).toBeCloseTo(0.5, 2);
    expect(second!.calls).toBeCloseTo(0.25, 2);
  });

  it('are sent at most once in 0.4 s, and sooner after a failure', () => {
    const { clock, statistics } = gateway();
    statistics.noteAttempt('a', ANSWERED);
    expect(statistics.takeReport()).toBeDefined();
    clock.now = MIN_REPORT_INTERVAL_MS;
    expect(statistics.takeReport()).toBeUndefined();
    statistics.noteAttempt('a', { ...ANSWERED, isFaulty: true });
    expect(statistics.takeReport()).toBeDefined();
    statistics.noteAttempt('a', { ...ANSWERED, isFaulty: true });
    clock.now += MIN_REPORT_INTERVAL_MS - 1;
    expect(statistics.takeReport()).toBeUndefined();
    clock.now += REPORT_INTERVAL_MS;
    expect(statistics.takeReport()).toBeDefined();
  });

  it('stay under their maximum size and keep failures when many backends are used', () => {
    const { statistics } = gateway();
    for (let backend = 0; backend < 100; backend += 1) {
      const id = `engine-with-a-long-name-${backend}@1764779000000`;
      for (let call = 0; call < 40; call += 1) statistics.noteDuration(id, 1, 200);
      statistics.noteAttempt(id, { ...ANSWERED, isFaulty: backend === 99 });
    }
    const report = statistics.takeReport()!;
    expect(encodeValue(report).length).toBeLessThanOrEqual(MAX_REPORT_BYTES);
    expect(report.ids.length).toBeGreaterThan(10);
    expect(report.ids[0]).toContain('-99@');
  });

  it('end once the calls are forgotten', () => {
    const { clock, statistics } = gateway();
    statistics.noteAttempt('a', ANSWERED);
    clock.now = 20_000;
    expect(statistics.takeReport()).toBeUndefined();
  });

  it('are not sent in independent mode, and shared conditions are not used', () => {
    const { statistics } = gateway();
    statistics.apply(packConditions([{ id: 'a', slowdown: 2, failingZones: ['*'] }]));
    statistics.setMode('independent');
    statistics.noteAttempt('a', ANSWERED);
    statistics.noteDuration('a', 200, 200);
    expect(statistics.takeReport()).toBeUndefined();
    expect(statistics.slowdownOf('a')).toBe(1);
    expect(statistics.isFailing('a')).toBe(false);
  });
});

describe('the result of an attempt', () => {
  const HANGING = { silentMs: 2_000, tookMs: 2_000 };
  it.each<[string, Partial<AttemptEnd>, string]>([
    ['an answer', {}, 'success'],
    ['an error', { isFaulty: true }, 'failure'],
    ['a reset', { kind: 'broken' }, 'failure'],
    ['no connection', { kind: 'not-sent' }, 'failure'],
    ['a rejection by a full backend', { kind: 'not-executed' }, 'rejected'],
    ['a hang until the deadline', { kind: 'stopped', ...HANGING }, 'failure'],
    [
      'a hang until the call is given up',
      { kind: 'broken', isGivenUp: true, ...HANGING },
      'failure',
    ],
    ['a caller that left early', { kind: 'stopped', silentMs: 300 }, 'unknown'],
    [
      'an answer aborted because the caller does not read',
      { kind: 'broken', wasPaused: true },
      'unknown',
    ],
    ['a caller that does not read', { kind: 'stopped', ...HANGING, wasPaused: true }, 'unknown'],
    ['a wait in a full queue', { kind: 'stopped', ...HANGING, estimatedMs: 900 }, 'unknown'],
  ])('counts %s as it should', (_, end, expected) => {
    expect(resultOfAttempt({ ...ANSWERED, ...end })).toBe(expected);
  });

  it('makes a backend slow whose calls are all given up', () => {
    const { statistics } = gateway();
    statistics.noteAttempt('a', { ...ANSWERED, kind: 'stopped', tookMs: 800, silentMs: 300 });
    const [entry] = decodeReport(statistics.takeReport()!);
    expect(entry).toMatchObject({ weight: 1, calls: 0 });
    expect(entry!.logRatios).toBeCloseTo(Math.log(4), 2);
  });
});

describe('the duration of a call that was given up', () => {
  it('is compared with the estimate of the time when it was sent', () => {
    const { statistics } = gateway();
    statistics.apply(packConditions([{ id: 'a', slowdown: 4 }]));
    const end: AttemptEnd = { ...ANSWERED, kind: 'stopped', tookMs: 300, silentMs: 100 };
    statistics.noteAttempt('a', end);
    expect(decodeReport(statistics.takeReport()!)[0]!.logRatios).toBeCloseTo(Math.log(1.5), 2);
  });
});

describe('shared conditions', () => {
  it('hold for the zone of the caller', () => {
    const conditions = packConditions([{ id: 'a', failingZones: ['z1'] }]);
    const [near, far] = [gateway('z1').statistics, gateway('z2').statistics];
    near.apply(conditions);
    far.apply(conditions);
    expect(near.isFailing('a')).toBe(true);
    expect(far.isFailing('a')).toBe(false);
  });

  it('decay to normal without a leader', () => {
    const { clock, statistics } = gateway();
    statistics.apply(packConditions([{ id: 'a', slowdown: 4, failingZones: ['*'] }]));
    statistics.apply(undefined);
    expect(statistics.slowdownOf('a')).toBe(4);
    clock.now = 2_500;
    expect(statistics.slowdownOf('a')).toBeCloseTo(2, 5);
    expect(statistics.isFailing('a')).toBe(false);
  });

  it('are visible in the metrics', async () => {
    const { registry, statistics } = gateway();
    statistics.apply(packConditions([{ id: 'a', failingZones: ['*'] }]));
    statistics.noteAttempt('a', { ...ANSWERED, isFaulty: true });
    statistics.noteProbe();
    const text = await registry.metrics();
    expect(text).toContain('ledgegauge_failing_backends 1');
    expect(text).toContain('ledgegauge_backend_attempts_total{result="failure"} 1');
    expect(text).toContain('ledgegauge_backend_probes_total 1');
  });
});

describe('estimates of what is not known', () => {
  it('count the calls that must end before a prompt fits into the cache', () => {
    const demand = { ownTokens: 12_000, otherCalls: 3, typicalTokens: 10_000, cacheTokens: 50_000 };
    expect(callsOverCache(8_000, demand)).toBe(0);
    expect(callsOverCache(28_000, demand)).toBeCloseTo(2);
    expect(callsOverCache(900_000, demand)).toBeCloseTo(4.2);
    expect(callsOverCache(8_000, { ...demand, cacheTokens: Infinity })).toBe(0);
  });

  it('allow for unseen calls in proportion to the rate of calls and the share of candidates', () => {
    const busy = Array.from({ length: 10 }, () => ({ otherInFlight: 20, capacity: 6 }));
    expect(meanUnseenCalls(busy, 5, 150)).toBeCloseTo(30);
    expect(meanUnseenCalls(busy, 5, 300)).toBeCloseTo(15);
    expect(meanUnseenCalls([{ otherInFlight: 0, capacity: 6 }], 1, 150)).toBe(0);
    expect(meanUnseenCalls([], 0, 150)).toBe(0);
  });
});
