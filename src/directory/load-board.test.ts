import fc from 'fast-check';
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import { LoadReportStore } from './load-board.js';
import { loadsOfOtherGateways } from './load-totals.js';
import type { BackendLoad } from './messages.js';

/** Longer than the lifetime of a report, in milliseconds. */
const EXPIRED_MS = 2_000;
const SNAPSHOT_TTL_MS = 100;

/** Snapshots expire at once, so that each request packs new sums. */
const NO_CACHING = (): number => 0;

beforeEach(() => vi.useFakeTimers({ toFake: ['performance'] }));
afterEach(() => vi.useRealTimers());

function sorted(loads: BackendLoad[]): BackendLoad[] {
  return [...loads].sort((left, right) => left.id.localeCompare(right.id));
}

function loadsOfOthers(store: LoadReportStore, gateway: string): BackendLoad[] {
  return loadsOfOtherGateways(store.totalsFor(gateway));
}

describe('load report store', () => {
  it('gives each gateway the calls of the others', () => {
    const store = new LoadReportStore(NO_CACHING);
    store.report('a', [{ id: 'x', inFlight: 2 }]);
    store.report('b', [
      { id: 'x', inFlight: 3 },
      { id: 'y', inFlight: 1 },
    ]);
    expect(sorted(loadsOfOthers(store, 'a'))).toEqual([
      { id: 'x', inFlight: 3 },
      { id: 'y', inFlight: 1 },
    ]);
    expect(loadsOfOthers(store, 'b')).toEqual([{ id: 'x', inFlight: 2 }]);
    expect(sorted(loadsOfOthers(store, 'c'))).toEqual([
      { id: 'x', inFlight: 5 },
      { id: 'y', inFlight: 1 },
    ]);
  });

  it('drops expired reports', () => {
    const store = new LoadReportStore(NO_CACHING);
    store.report('a', [{ id: 'x', inFlight: 2 }]);
    vi.advanceTimersByTime(EXPIRED_MS);
    store.report('b', [{ id: 'x', inFlight: 1 }]);
    expect(loadsOfOthers(store, 'c')).toEqual([{ id: 'x', inFlight: 1 }]);
  });

  it('matches the sum of the latest reports', () => {
    const gateway = fc.constantFrom('a', 'b', 'c', 'd');
    const loads = fc.uniqueArray(
      fc.record({ id: fc.constantFrom('x', 'y', 'z'), inFlight: fc.integer({ min: 0, max: 9 }) }),
      { selector: ({ id }) => id },
    );
    fc.assert(
      fc.property(fc.array(fc.tuple(gateway, loads)), gateway, (reports, receiver) => {
        const store = new LoadReportStore(NO_CACHING);
        const latest = new Map<string, BackendLoad[]>();
        for (const [name, reported] of reports) {
          store.report(name, reported);
          latest.set(name, reported);
        }
        const sums = new Map<string, number>();
        for (const [name, reported] of latest) {
          if (name === receiver) continue;
          for (const { id, inFlight } of reported) sums.set(id, (sums.get(id) ?? 0) + inFlight);
        }
        const expected = [...sums]
          .filter(([, inFlight]) => inFlight > 0)
          .map(([id, inFlight]) => ({ id, inFlight }));
        expect(sorted(loadsOfOthers(store, receiver))).toEqual(sorted(expected));
      }),
    );
  });

  it('does not iterate over all reports for each request', () => {
    const store = new LoadReportStore(NO_CACHING);
    let read = 0;
    const counted = (): BackendLoad[] =>
      new Proxy([{ id: 'x', inFlight: 1 }], {
        get(target, property, receiver) {
          if (property === Symbol.iterator) read += 1;
          return Reflect.get(target, property, receiver) as unknown;
        },
      });
    for (let number = 0; number < 1_600; number += 1) store.report(`g${number}`, counted());
    read = 0;
    store.totalsFor('g7');
    expect(read).toBeLessThanOrEqual(1);
  });

  it('shares a packed snapshot between gateways and subtracts what each had reported by then', () => {
    const store = new LoadReportStore(() => SNAPSHOT_TTL_MS);
    store.report('a', [{ id: 'x', inFlight: 2 }]);
    store.report('b', [{ id: 'x', inFlight: 3 }]);
    const first = store.totalsFor('a');
    store.report('b', [{ id: 'x', inFlight: 30 }]);
    expect(store.totalsFor('b').sums).toBe(first.sums);
    expect(loadsOfOthers(store, 'b')).toEqual([{ id: 'x', inFlight: 2 }]);
    vi.advanceTimersByTime(SNAPSHOT_TTL_MS);
    expect(loadsOfOthers(store, 'a')).toEqual([{ id: 'x', inFlight: 30 }]);
  });
});
