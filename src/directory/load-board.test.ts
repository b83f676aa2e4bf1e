import fc from 'fast-check';
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import { LoadReportStore } from './load-board.js';
import { loadsOfOtherGateways } from './load-totals.js';
import type { BackendLoad } from './messages.js';

/** Longer than a report says anything, in milliseconds. */
const EXPIRED_MS = 2_000;
const VALID_MS = 100;

/** Each question gets sums of its own. */
const PACKED_ANEW = (): number => 0;

beforeEach(() => vi.useFakeTimers({ toFake: ['performance'] }));
afterEach(() => vi.useRealTimers());

function sorted(loads: BackendLoad[]): BackendLoad[] {
  return [...loads].sort((left, right) => left.id.localeCompare(right.id));
}

function othersThan(board: LoadReportStore, gateway: string): BackendLoad[] {
  return loadsOfOtherGateways(board.totalsFor(gateway));
}

describe('load board', () => {
  it('tells each gateway of the calls of the others', () => {
    const board = new LoadReportStore(PACKED_ANEW);
    board.report('a', [{ id: 'x', inFlight: 2 }]);
    board.report('b', [
      { id: 'x', inFlight: 3 },
      { id: 'y', inFlight: 1 },
    ]);
    expect(sorted(othersThan(board, 'a'))).toEqual([
      { id: 'x', inFlight: 3 },
      { id: 'y', inFlight: 1 },
    ]);
    expect(othersThan(board, 'b')).toEqual([{ id: 'x', inFlight: 2 }]);
    expect(sorted(othersThan(board, 'c'))).toEqual([
      { id: 'x', inFlight: 5 },
      { id: 'y', inFlight: 1 },
    ]);
  });

  it('forgets a gateway that has not reported for a while', () => {
    const board = new LoadReportStore(PACKED_ANEW);
    board.report('a', [{ id: 'x', inFlight: 2 }]);
    vi.advanceTimersByTime(EXPIRED_MS);
    board.report('b', [{ id: 'x', inFlight: 1 }]);
    expect(othersThan(board, 'c')).toEqual([{ id: 'x', inFlight: 1 }]);
  });

  it('agrees with adding all reports up anew, whatever is reported', () => {
    const gateway = fc.constantFrom('a', 'b', 'c', 'd');
    const loads = fc.uniqueArray(
      fc.record({ id: fc.constantFrom('x', 'y', 'z'), inFlight: fc.integer({ min: 0, max: 9 }) }),
      { selector: ({ id }) => id },
    );
    fc.assert(
      fc.property(fc.array(fc.tuple(gateway, loads)), gateway, (reports, asker) => {
        const board = new LoadReportStore(PACKED_ANEW);
        const latest = new Map<string, BackendLoad[]>();
        for (const [name, reported] of reports) {
          board.report(name, reported);
          latest.set(name, reported);
        }
        const sums = new Map<string, number>();
        for (const [name, reported] of latest) {
          if (name === asker) continue;
          for (const { id, inFlight } of reported) sums.set(id, (sums.get(id) ?? 0) + inFlight);
        }
        const expected = [...sums]
          .filter(([, inFlight]) => inFlight > 0)
          .map(([id, inFlight]) => ({ id, inFlight }));
        expect(sorted(othersThan(board, asker))).toEqual(sorted(expected));
      }),
    );
  });

  it('answers at a cost that does not grow with the number of gateways', () => {
    const board = new LoadReportStore(PACKED_ANEW);
    let read = 0;
    const counted = (): BackendLoad[] =>
      new Proxy([{ id: 'x', inFlight: 1 }], {
        get(target, property, receiver) {
          if (property === Symbol.iterator) read += 1;
          return Reflect.get(target, property, receiver) as unknown;
        },
      });
    for (let number = 0; number < 1_600; number += 1) board.report(`g${number}`, counted());
    read = 0;
    board.totalsFor('g7');
    expect(read).toBeLessThanOrEqual(1);
  });

  it('packs the calls once for gateways that ask at about the same time, and takes out what each reported then', () => {
    const board = new LoadReportStore(() => VALID_MS);
    board.report('a', [{ id: 'x', inFlight: 2 }]);
    board.report('b', [{ id: 'x', inFlight: 3 }]);
    const first = board.totalsFor('a');
    board.report('b', [{ id: 'x', inFlight: 30 }]);
    expect(board.totalsFor('b').sums).toBe(first.sums);
    expect(othersThan(board, 'b')).toEqual([{ id: 'x', inFlight: 2 }]);
    vi.advanceTimersByTime(VALID_MS);
    expect(othersThan(board, 'a')).toEqual([{ id: 'x', inFlight: 30 }]);
  });
});
