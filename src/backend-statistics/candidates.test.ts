/** Selection among the candidates of coordinated mode. */
import { describe, expect, it } from 'vitest';
import { SeededRandom } from '../common/index.js';
import {
  type CandidateState,
  drawForFirstTurn,
  drawProbe,
  selectForPlainCall,
} from './candidates.js';

const DRAWS = 5_000;

function states(count: number, overrides: Partial<CandidateState>[] = []): CandidateState[] {
  return Array.from({ length: count }, (_, index) => ({
    id: `b${index}`,
    isSuspect: false,
    isFailing: false,
    sharedSlowdown: 1,
    inFlight: 0,
    meanOtherInFlight: 0,
    record: { slots: 6 },
    ...overrides[index],
  }));
}

function sharesOf(select: (random: () => number) => CandidateState | undefined) {
  const random = new SeededRandom(3);
  const counts = new Map<string, number>();
  for (let draw = 0; draw < DRAWS; draw += 1) {
    const id = select(() => random.uniform())?.id ?? 'none';
    counts.set(id, (counts.get(id) ?? 0) + 1 / DRAWS);
  }
  return (id: string): number => counts.get(id) ?? 0;
}

describe('candidates', () => {
  it('spread plain calls although one server seems to have no load', () => {
    const loaded = Array.from({ length: 9 }, () => ({ meanOtherInFlight: 6 }));
    const usable = states(10, [{}, ...loaded]);
    const share = sharesOf((random) => selectForPlainCall(usable, undefined, random));
    expect(share('b0')).toBeGreaterThan(0.1);
    expect(share('b0')).toBeLessThan(0.2);
  });

  it('send fewer plain calls to a slow server and none to a suspect one', () => {
    const usable = states(10, [{ sharedSlowdown: 5 }, { isSuspect: true }, { isFailing: true }]);
    const share = sharesOf((random) => selectForPlainCall(usable, undefined, random));
    expect(share('b0')).toBeLessThan(0.06);
    expect(share('b1') + share('b2')).toBe(0);
  });

  it('prefer the server with affinity unless its queue is long', () => {
    const usable = states(10, [{ meanOtherInFlight: 1 }, { meanOtherInFlight: 60 }]);
    const share = (index: number) =>
      sharesOf((random) => selectForPlainCall(usable, usable[index], random))(`b${index}`);
    expect(share(0)).toBeGreaterThan(0.5);
    expect(share(1)).toBeLessThan(0.3);
  });

  it('give a plain call no server if all are suspect', () => {
    const usable = states(2, [{ isSuspect: true }, { isSuspect: true }]);
    expect(selectForPlainCall(usable, usable[0], Math.random)).toBeUndefined();
  });

  it('draw five different healthy engines for a first turn', () => {
    const usable = states(8, [{ isSuspect: true }]);
    for (let draw = 0; draw < 50; draw += 1) {
      const drawn = drawForFirstTurn(usable, Math.random);
      expect(new Set(drawn).size).toBe(5);
      expect(drawn).not.toContain(usable[0]);
    }
    expect(drawForFirstTurn(states(3), Math.random)).toHaveLength(3);
  });

  it('send one call in fifty to a failing engine as a probe', () => {
    const usable = states(10, [{ isFailing: true, isSuspect: true }]);
    const share = sharesOf((random) => drawProbe(usable, random));
    expect(share('b0')).toBeGreaterThan(0.012);
    expect(share('b0')).toBeLessThan(0.028);
    expect(sharesOf((random) => drawProbe(states(10), random))('none')).toBeCloseTo(1);
  });
});
