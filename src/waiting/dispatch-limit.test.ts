/** How many calls a gateway may send, and what it does without figures of the others. */
import { describe, expect, it } from 'vitest';
import {
  type BackendOccupancy,
  DispatchLimit,
  type ServiceState,
  ceilingOf,
} from './dispatch-limit.js';

const GATEWAYS = 10;
const SLOTS = 6;
/** Half of a slot's calls end while load figures are in transit. */
const TYPICAL_MS = 300;
const CEILING = 9;

function backendWith(load: number, overrides: Partial<BackendOccupancy> = {}): BackendOccupancy {
  return { capacity: SLOTS, load, isSuspect: false, ...overrides };
}

function stateOf(overrides: Partial<ServiceState> = {}): ServiceState {
  return {
    now: 0,
    backends: [backendWith(0)],
    typicalMs: TYPICAL_MS,
    ownWaiting: 1,
    otherWaiting: 9,
    gateways: GATEWAYS,
    figuresAt: 0,
    ...overrides,
  };
}

describe('the ceiling of a backend', () => {
  it('includes what it processes while figures are in transit, at most its capacity again', () => {
    expect(ceilingOf(backendWith(0), TYPICAL_MS)).toBe(CEILING);
    expect(ceilingOf(backendWith(0), 20)).toBe(2 * SLOTS);
  });

  it('is lower for a slow backend', () => {
    expect(ceilingOf(backendWith(0, { sharedSlowdown: 3 }), TYPICAL_MS)).toBe(CEILING / 3);
  });
});

describe('the dispatch limit', () => {
  it('is the share of the free places in proportion to the waiting calls', () => {
    const backends = [backendWith(0), backendWith(8), backendWith(20)];
    const free = CEILING + 1;
    expect(new DispatchLimit().available(stateOf({ backends }))).toBeCloseTo(free / 10);
    const busy = stateOf({ backends, ownWaiting: 9, otherWaiting: 9 });
    expect(new DispatchLimit().available(busy)).toBeCloseTo(free / 2);
  });

  it('counts the calls sent since the figures arrived as load', () => {
    const limit = new DispatchLimit();
    const state = stateOf({ backends: [backendWith(0), backendWith(0)], otherWaiting: 0 });
    let sent = 0;
    for (; limit.available(state) >= 1; sent += 1) limit.noteSent();
    expect(sent).toBe(2 * CEILING);
  });

  // Without the carried fraction, a gateway whose share is below one call would never send any.
  it('carries a fraction over, so that a gateway with few waiting calls gets its turn', () => {
    const limit = new DispatchLimit();
    let rounds = 0;
    for (; rounds < 20; rounds += 1) {
      const backends = [backendWith(CEILING - 2)];
      if (limit.available(stateOf({ backends, figuresAt: rounds * 150, now: rounds * 150 })) >= 1) {
        break;
      }
    }
    expect(rounds).toBe(4);
  });

  it('does not carry over what was left while no call waited', () => {
    const limit = new DispatchLimit();
    limit.available(stateOf({ ownWaiting: 1, otherWaiting: 0 }));
    const full = [backendWith(CEILING)];
    limit.available(stateOf({ backends: full, ownWaiting: 0, figuresAt: 150, now: 150 }));
    expect(limit.available(stateOf({ backends: full, figuresAt: 150, now: 150 }))).toBe(0);
  });

  // Gateways that see few free places and nobody waiting would otherwise all take them at the same time.
  it('assumes that other gateways need places too when there are fewer than gateways', () => {
    const backends = [backendWith(CEILING - 1)];
    const limit = new DispatchLimit();
    expect(limit.available(stateOf({ backends, otherWaiting: 0 }))).toBeLessThan(0.2);
  });

  it('lets a gateway reuse most of the places of its own ended calls at once', () => {
    const limit = new DispatchLimit();
    const state = stateOf({ backends: [backendWith(CEILING)], ownWaiting: 5 });
    expect(limit.available(state)).toBe(0);
    limit.noteEnded(state);
    limit.noteEnded(state);
    expect(limit.available(state)).toBeGreaterThanOrEqual(1);
    expect(limit.available(state)).toBeLessThan(2);
  });

  it('does not reuse places beyond the ceiling, so that engine queues shrink', () => {
    const limit = new DispatchLimit();
    const state = stateOf({ backends: [backendWith(3 * CEILING)], ownWaiting: 5 });
    limit.available(state);
    for (let ends = 0; ends < 5; ends += 1) limit.noteEnded(state);
    expect(limit.available(state)).toBe(0);
  });

  // A gateway whose figures are late would otherwise stop sending while its engines become idle.
  it('reuses all places of ended calls while figures are overdue', () => {
    const limit = new DispatchLimit();
    limit.available(stateOf({ otherWaiting: 0 }));
    for (let sent = 0; sent < 5; sent += 1) limit.noteSent();
    const backends = [backendWith(3 * CEILING)];
    const state = stateOf({ backends, ownWaiting: 5, figuresAt: 150, now: 150 });
    expect(limit.available(state)).toBeLessThan(1);
    const late = { ...state, now: 1_000 };
    const before = limit.available(late);
    limit.noteEnded(late);
    expect(before).toBeLessThan(1);
    expect(limit.available(late) - before).toBe(1);
  });

  it('is an equal share of all places without figures for 1.5 s, and at least one', () => {
    const limit = new DispatchLimit();
    const backends = Array.from({ length: 3 }, () => backendWith(2 * CEILING));
    const lonely = stateOf({ backends, now: 1_501 });
    let sent = 0;
    for (; limit.available(lonely) >= 1; sent += 1) limit.noteSent();
    expect(sent).toBe(Math.floor((3 * CEILING) / GATEWAYS));
    limit.noteEnded(lonely);
    expect(limit.available(lonely)).toBeGreaterThanOrEqual(1);
    expect(new DispatchLimit().available(stateOf({ gateways: 70, now: 1_501 }))).toBe(1);
  });

  it('is at least an equal share of all places while figures are overdue', () => {
    const limit = new DispatchLimit();
    const backends = Array.from({ length: 3 }, () => backendWith(3 * CEILING));
    expect(limit.available(stateOf({ backends, now: 200 }))).toBe(0);
    expect(limit.available(stateOf({ backends, now: 400 }))).toBeCloseTo((3 * CEILING) / GATEWAYS);
  });

  it('ignores suspect and failing backends, unless there are no others', () => {
    const ill = [backendWith(0, { isSuspect: true }), backendWith(0, { isFailing: true })];
    const mixed = stateOf({ backends: [...ill, backendWith(CEILING)], otherWaiting: 0 });
    expect(new DispatchLimit().available(mixed)).toBe(0);
    const onlyIll = stateOf({ backends: ill, otherWaiting: 0 });
    expect(new DispatchLimit().available(onlyIll)).toBeCloseTo(2 * CEILING);
  });

  it('gets back the place of a permit that was not used', () => {
    const limit = new DispatchLimit();
    const state = stateOf({ backends: [backendWith(0), backendWith(0)], otherWaiting: 0 });
    const before = limit.available(state);
    limit.noteSent();
    limit.noteUnused();
    expect(limit.available(state)).toBeCloseTo(before);
  });
});
