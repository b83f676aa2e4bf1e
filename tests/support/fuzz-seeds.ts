/**
 * Seeds of a fuzz test: those that ever failed, then a fixed range, so that every run of the suite
 * gives the same verdict. `LEDGEGAUGE_FUZZ_SEEDS=N` plays N fresh seeds in their place, by hand.
 */
import { randomInt } from 'node:crypto';

const LARGEST_SEED = 2 ** 31 - 1;

/** @param failed seeds that failed once, each with a line on the cause where it is listed */
export function fuzzSeeds(failed: readonly number[], regular: number): number[] {
  const fresh = Number(process.env.LEDGEGAUGE_FUZZ_SEEDS ?? 0);
  if (fresh > 0) return Array.from({ length: fresh }, () => randomInt(LARGEST_SEED));
  return [...failed, ...Array.from({ length: regular }, (_, index) => index + 1)];
}
