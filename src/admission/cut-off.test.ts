/** Gateways that are cut off at the height of a burst must not refuse programs for a load that has passed. */
import { describe, expect, it } from 'vitest';
import {
  CAPACITY,
  OverloadReplay,
  type ProgramRecord,
} from '../../tests/support/overload-replay.js';

const USUAL = 0.65;
const BURST_FROM_MS = 3_000;
const BURST_UNTIL_MS = 7_000;
const BURST_FACTOR = 2.5;
const SEEDS = [1, 2, 3, 4, 5, 6];
const CUT_OFF_GATEWAYS = 10;
/** Time after the burst, and after the cut, from which on the loads of the burst must not count, in milliseconds. */
const RECOVERY_MS = 1_000;
const OUTDATED_MS = 2_500;
const OBSERVED_MS = 3_000;
/** What a cut-off gateway may refuse more often than others. */
const TOLERATED_FRACTION = 0.05;

function play(seed: number, cutAt: number): OverloadReplay {
  const rate = (at: number): number =>
    USUAL * CAPACITY * (at >= BURST_FROM_MS && at < BURST_UNTIL_MS ? BURST_FACTOR : 1);
  const sources = [0, 1].map((priority) => ({ priority, rate: (at: number) => rate(at) / 2 }));
  const isConnected = (gateway: number, at: number): boolean =>
    gateway >= CUT_OFF_GATEWAYS || at < cutAt;
  const run = new OverloadReplay({ admission: 'independent', sources, seed, isConnected });
  run.run(BURST_UNTIL_MS + OUTDATED_MS + OBSERVED_MS);
  return run;
}

function refusedFraction(programs: readonly ProgramRecord[]): number {
  expect(programs.length).toBeGreaterThan(100);
  return programs.filter(({ wasRefused }) => wasRefused).length / programs.length;
}

describe.each([1_500, 2_500, 3_500])('gateways that are cut off %i ms into a burst', (afterMs) => {
  it('refuse no programs for it after its end', () => {
    const cutAt = BURST_FROM_MS + afterMs;
    const from = Math.max(BURST_UNTIL_MS + RECOVERY_MS, cutAt + OUTDATED_MS);
    // The few programs of one run are too few for a fraction.
    const programs = SEEDS.flatMap((seed) => play(seed, cutAt).programs).filter(
      ({ offeredAt }) => offeredAt >= from && offeredAt < from + OBSERVED_MS,
    );
    const isCutOff = ({ gateway }: ProgramRecord): boolean => gateway < CUT_OFF_GATEWAYS;
    const cutOff = refusedFraction(programs.filter(isCutOff));
    const others = refusedFraction(programs.filter((program) => !isCutOff(program)));
    expect(cutOff).toBeLessThan(others + TOLERATED_FRACTION);
  });
});
