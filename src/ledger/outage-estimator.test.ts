/**
 * How long calls wait for a ledger whose leader is away, and what comes of it for their callers: against
 * waiting for a fixed share of the time left.
 */
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import { SeededRandom } from '../common/index.js';
import { OutageEstimator } from './outage-estimator.js';

const CALL_TIME_MS = 3_000;
const LEAST_TURN_MS = 100;
/** Large ones: the generator's first numbers for small seeds lie close to 1. */
const SEEDS = [917_263_411, 220_845_937, 684_119_203, 1_390_522_871, 75_318_642];
const OUTAGES = 200;
/** Time between two calls of one gateway, in milliseconds. */
const CALL_INTERVAL_MS = 33;
const SHARE_BEFORE = 0.6;
/** Time between outages, in milliseconds. */
const QUIET_MS = 10_000;

interface Outcome {
  served: number;
  /** Time for which calls were held that were not served, in milliseconds. */
  wastedMs: number;
}

beforeEach(() => void vi.useFakeTimers({ toFake: ['performance'] }));
afterEach(() => void vi.useRealTimers());

type DrawOutageMs = (random: SeededRandom) => number;

const drawElection: DrawOutageMs = (random) => 300 + random.exponential(300);
const drawLossOfPower: DrawOutageMs = (random) => 1_500 + random.exponential(500);
const drawLongCut: DrawOutageMs = (random) => 5_000 + random.exponential(5_000);

/** Calls arrive evenly while an outage lasts; each is served if it ends while the call waits. */
function play(
  seed: number,
  drawOutageMs: DrawOutageMs,
  waitOf: (estimate: OutageEstimator) => number,
): Outcome {
  const random = new SeededRandom(seed);
  const estimate = new OutageEstimator();
  const outcome: Outcome = { served: 0, wastedMs: 0 };
  for (let outage = 0; outage < OUTAGES; outage += 1) {
    const lastsMs = drawOutageMs(random);
    estimate.recordRequest();
    for (let atMs = 0; atMs < lastsMs; atMs += CALL_INTERVAL_MS) {
      const waitMs = waitOf(estimate);
      if (lastsMs - atMs <= waitMs) outcome.served += 1;
      else outcome.wastedMs += waitMs;
      vi.advanceTimersByTime(CALL_INTERVAL_MS);
    }
    estimate.recordResponse();
    vi.advanceTimersByTime(QUIET_MS);
  }
  return outcome;
}

describe('an estimate of outages', () => {
  it('expects what outages have lasted and, past that, as long again', () => {
    const estimate = new OutageEstimator();
    estimate.recordRequest();
    expect(estimate.remainingMs).toBe(0);
    vi.advanceTimersByTime(400);
    expect(estimate.remainingMs).toBe(400);
    vi.advanceTimersByTime(1_000);
    expect(estimate.remainingMs).toBe(1_400);
    estimate.recordResponse();
    expect(estimate.remainingMs).toBe(0);
  });

  it('lets nobody wait for what will hardly come in time, and believes old failures no more', () => {
    const estimate = new OutageEstimator();
    estimate.recordRequest();
    vi.advanceTimersByTime(4_000);
    expect(estimate.waitMs(CALL_TIME_MS)).toBe(0);
    estimate.recordFailure();
    expect(estimate.waitMs(CALL_TIME_MS)).toBe(0);
    vi.advanceTimersByTime(1_000);
    expect(estimate.waitMs(CALL_TIME_MS)).toBeGreaterThan(1_000);
  });

  it.each(SEEDS)('seed %i: serves no fewer, and holds less in vain, than a fixed share', (seed) => {
    const usefulMs = CALL_TIME_MS - LEAST_TURN_MS;
    const compare = (drawOutageMs: DrawOutageMs) => ({
      before: play(seed, drawOutageMs, () => CALL_TIME_MS * SHARE_BEFORE),
      now: play(seed, drawOutageMs, (estimate) => estimate.waitMs(usefulMs)),
    });
    for (const drawOutageMs of [drawElection, drawLossOfPower]) {
      const { before, now } = compare(drawOutageMs);
      expect(now.served).toBeGreaterThanOrEqual(before.served);
      expect(now.wastedMs).toBeLessThanOrEqual(before.wastedMs);
    }
    const { before, now } = compare(drawLongCut);
    expect(now.wastedMs).toBeLessThan(before.wastedMs * 0.6);
  });
});
