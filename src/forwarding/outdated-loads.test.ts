/** Loads of other gateways while no report of them arrives. */
import { describe, expect, it, vi } from 'vitest';
import { sampleRegistration } from '../../tests/support/directory-samples.js';
import { BackendView } from './backend-view.js';
import { AGING_INTERVAL_MS, OutdatedLoads } from './outdated-loads.js';

const GATEWAYS = 10;
const REPORTED = [
  { reportedCalls: 30, capacity: 6 },
  { reportedCalls: 3, capacity: 6 },
];

/** Ages a report until a time. @returns the last result */
function ageUntil(ms: number, ownCalls: number): number[] | undefined {
  const outdated = new OutdatedLoads();
  outdated.noteReport(0);
  let aged: number[] | undefined;
  for (let now = AGING_INTERVAL_MS; now <= ms; now += AGING_INTERVAL_MS) {
    aged = outdated.age(REPORTED, ownCalls, GATEWAYS, now);
  }
  return aged;
}

describe('the last report on the loads of other gateways', () => {
  it('stays as it is for 1.5 s', () => {
    expect(ageUntil(1_400, 0)).toBeUndefined();
  });

  it('has lost its weight after 2.5 s: others have as many calls as this gateway', () => {
    expect(ageUntil(2_500, 2)).toEqual([9, 3]);
    expect(ageUntil(2_500, 0)).toEqual([0, 0]);
  });

  it('loses it gradually', () => {
    expect(ageUntil(2_000, 0)).toEqual([15, 1.5]);
  });

  // A cut may bring this gateway the callers of others, whose engines would then seem overloaded.
  it('is never raised by the calls of this gateway', () => {
    expect(ageUntil(10_000, 50)).toEqual([30, 3]);
  });
});

describe('a view of the backends', () => {
  it('uses the aged loads until the next report', () => {
    vi.useFakeTimers();
    try {
      const limits = {
        connections: () => 1,
        cacheTokens: () => Infinity,
        gateways: () => GATEWAYS,
      };
      const view = new BackendView(limits);
      const registration = sampleRegistration({ id: 'e1', service: 's', slots: 6 });
      view.update([{ ...registration, isSilent: false }]);
      view.updateOtherLoads([{ id: 'e1', inFlight: 8 }]);
      const [backend] = view.serving('s');
      const ageFor = (ms: number): void => {
        for (let passed = 0; passed < ms; passed += AGING_INTERVAL_MS) {
          vi.advanceTimersByTime(AGING_INTERVAL_MS);
          view.ageOtherLoads();
        }
      };
      ageFor(1_000);
      expect([backend!.load, backend!.meanOtherInFlight]).toEqual([8, 2]);
      ageFor(2_000);
      expect([backend!.load, backend!.meanOtherInFlight]).toEqual([0, 0]);
      view.updateOtherLoads([{ id: 'e1', inFlight: 4 }]);
      expect(backend!.load).toBe(4);
    } finally {
      vi.useRealTimers();
    }
  });
});
