/** Outage estimation, compared in simulations with waiting for a fixed share of the remaining time. */
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import { SeededRandom } from '../common/index.js';
import { OutageEstimator } from './outage-estimator.js';

const CALL_TIME_MS = 3_000;
const MIN_TURN_MS = 100;
/** Large seeds, since the generator's first numbers for small seeds are close to 1. */
const SEEDS = [917_263_411, 220_845_937, 684_119_203, 1_390_522_871, 75_318_642];
const OUTAGES = 200;
/** Interval between two calls of one gateway, in milliseconds. */
const CALL_INTERVAL_MS = 33;
const FIXED_WAIT_SHARE = 0.6;
/** Time between outages, in milliseconds. */
const OUTAGE_INTERVAL_MS = 10_000;

interface Outcome {
  served: number;
  /** Total waiting time of calls that were not served, in milliseconds. */
  wastedMs: number;
}

beforeEach(() => void vi.useFakeTimers({ toFake: ['performance'] }));
afterEach(() => void vi.useRealTimers());

type DrawOutageMs = (random: SeededRandom) => number;

const drawElection: DrawOutageMs = (random) => 300 + random.exponential(300);
const drawPowerFailure: DrawOutageMs = (random) => 1_500 + random.exponential(500);
const drawLongOutage: DrawOutageMs = (random) => 5_000 + random.exponential(5_000);

/** Simulates calls at a constant rate during outages. A call is served if the outage ends while it waits. */
function play(
  seed: number,
  drawOutageMs: DrawOutageMs,
  waitOf: (estimator: OutageEstimator) => number,
): Outcome {
  const random = new SeededRandom(seed);
  const estimator = new OutageEstimator();
  const outcome: Outcome = { served: 0, wastedMs: 0 };
  for (let outage = 0; outage < OUTAGES; outage += 1) {
    const lastsMs = drawOutageMs(random);
    estimator.recordRequest();
    for (let atMs = 0; atMs < lastsMs; atMs += CALL_INTERVAL_MS) {
      const waitMs = waitOf(estimator);
      if (lastsMs - atMs <= waitMs) outcome.served += 1;
      else outcome.wastedMs += waitMs;
      vi.advanceTimersByTime(CALL_INTERVAL_MS);
    }
    estimator.recordResponse();
    vi.advanceTimersByTime(OUTAGE_INTERVAL_MS);
  }
  return outcome;
}

describe('the outage estimator', () => {
  it('predicts the duration of previous outages and, beyond that, twice the elapsed time', () => {
    const estimator = new OutageEstimator();
    estimator.recordRequest();
    expect(estimator.remainingMs).toBe(0);
    vi.advanceTimersByTime(400);
    expect(estimator.remainingMs).toBe(400);
    vi.advanceTimersByTime(1_000);
    expect(estimator.remainingMs).toBe(1_400);
    estimator.recordResponse();
    expect(estimator.remainingMs).toBe(0);
  });

  it('does not wait for an unlikely response, and disregards old failures', () => {
    const estimator = new OutageEstimator();
    estimator.recordRequest();
    vi.advanceTimersByTime(4_000);
    expect(estimator.waitMs(CALL_TIME_MS)).toBe(0);
    estimator.recordFailure();
    expect(estimator.waitMs(CALL_TIME_MS)).toBe(0);
    vi.advanceTimersByTime(1_000);
    expect(estimator.waitMs(CALL_TIME_MS)).toBeGreaterThan(1_000);
  });

  it.each(SEEDS)(
    'seed %i: serves at least as many calls with less wasted waiting than a fixed share',
    (seed) => {
      const usefulMs = CALL_TIME_MS - MIN_TURN_MS;
      const compare = (drawOutageMs: DrawOutageMs) => ({
        fixedShare: play(seed, drawOutageMs, () => CALL_TIME_MS * FIXED_WAIT_SHARE),
        estimated: play(seed, drawOutageMs, (estimator) => estimator.waitMs(usefulMs)),
      });
      for (const drawOutageMs of [drawElection, drawPowerFailure]) {
        const { fixedShare, estimated } = compare(drawOutageMs);
        expect(estimated.served).toBeGreaterThanOrEqual(fixedShare.served);
        expect(estimated.wastedMs).toBeLessThanOrEqual(fixedShare.wastedMs);
      }
      const { fixedShare, estimated } = compare(drawLongOutage);
      expect(estimated.wastedMs).toBeLessThan(fixedShare.wastedMs * 0.6);
    },
  );
});
