/** Replays engines that fail a part of their calls while they are registered as ready. */
import { describe, expect, it } from 'vitest';
import { StatisticsReplay } from '../../tests/support/statistics-replay.js';

const ENGINES = 27;
const ZONES = ['z1', 'z2', 'z3', 'z4'];
const FAILING_FROM_MS = 2_500;
const FAILING_UNTIL_MS = 5_000;
const STEP_MS = 50;
/** The median of fewer runs varies by more than its distance from the bound. */
const SEEDS = Array.from({ length: 15 }, (_, index) => index + 1);
/** Failures of engines without a fault, for example because a caller's machine is lost. */
const BACKGROUND_RATIO = 0.005;

function replay(ratio: number, seed: number, zone?: string): StatisticsReplay {
  const isFailing = (engine: number, caller: string, atMs: number): boolean =>
    engine === 0 &&
    atMs >= FAILING_FROM_MS &&
    atMs < FAILING_UNTIL_MS &&
    (zone === undefined || zone === caller);
  return new StatisticsReplay({
    mode: 'coordinated',
    gateways: 60,
    zones: ZONES,
    backends: ENGINES,
    slots: 6,
    queue: 18,
    rate: ENGINES / 4,
    isModelCall: true,
    durationMs: [170, 230],
    failureRatio: (engine, caller, atMs) =>
      isFailing(engine, caller, atMs) ? ratio : BACKGROUND_RATIO,
    seed,
  });
}

/** Time from `fromMs` until a condition holds, in milliseconds. */
function timeUntil(fleet: StatisticsReplay, fromMs: number, condition: () => boolean): number {
  for (let atMs = fromMs; atMs <= fromMs + 4_000; atMs += STEP_MS) {
    fleet.runUntil(atMs);
    if (condition()) return atMs - fromMs;
  }
  return Infinity;
}

function median(values: number[]): number {
  return values.sort((left, right) => left - right)[Math.floor(values.length / 2)]!;
}

describe('a failing engine', () => {
  it.each([
    { ratio: 1, withinMs: 1_000 },
    { ratio: 0.4, withinMs: 1_000 },
  ])(
    'is known by all gateways and used again after it recovers (ratio $ratio)',
    ({ ratio, withinMs }) => {
      const known: number[] = [];
      const recovered: number[] = [];
      for (const seed of SEEDS) {
        const fleet = replay(ratio, seed);
        fleet.runUntil(FAILING_FROM_MS);
        known.push(timeUntil(fleet, FAILING_FROM_MS, () => fleet.failingShare(0) === 1));
        fleet.runUntil(FAILING_UNTIL_MS);
        recovered.push(timeUntil(fleet, FAILING_UNTIL_MS, () => fleet.failingShare(0) === 0));
        fleet.runUntil(FAILING_UNTIL_MS + 3_000);
        const usedAgain = fleet.calls.filter(
          ({ backend, at }) => backend === 0 && at > FAILING_UNTIL_MS + 2_000,
        );
        expect(usedAgain.length).toBeGreaterThan(5);
      }
      console.info(
        `ratio ${ratio}: known after ${known.join(', ')} ms, recovered after`,
        recovered,
      );
      expect(median(known)).toBeLessThanOrEqual(withinMs);
      expect(median(recovered)).toBeLessThanOrEqual(2_000);
    },
    120_000,
  );

  it('is avoided by the callers of the one zone that fails only', () => {
    const known: number[] = [];
    const recovered: number[] = [];
    for (const seed of SEEDS) {
      const fleet = replay(1, seed, 'z2');
      fleet.runUntil(FAILING_FROM_MS);
      known.push(timeUntil(fleet, FAILING_FROM_MS, () => fleet.failingShare(0, 'z2') === 1));
      expect(fleet.failingShare(0, 'z1')).toBe(0);
      expect(fleet.failingShare(0, 'z3')).toBe(0);
      fleet.runUntil(FAILING_UNTIL_MS);
      recovered.push(timeUntil(fleet, FAILING_UNTIL_MS, () => fleet.failingShare(0, 'z2') === 0));
    }
    console.info(`one zone: known after ${known.join(', ')} ms, recovered after`, recovered);
    expect(median(known)).toBeLessThanOrEqual(1_200);
    expect(median(recovered)).toBeLessThanOrEqual(2_000);
  }, 120_000);

  it('is not suspected for the failures that every engine has now and then', () => {
    const fleet = replay(BACKGROUND_RATIO, 4);
    let failing = 0;
    for (let atMs = 1_000; atMs <= 9_000; atMs += STEP_MS) {
      fleet.runUntil(atMs);
      for (let engine = 0; engine < ENGINES; engine += 1) failing += fleet.failingShare(engine);
    }
    expect(failing).toBe(0);
  }, 60_000);
});
