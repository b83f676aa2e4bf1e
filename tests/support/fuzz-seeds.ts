/**
 * Seeds of a fuzz test: seeds that failed before and a fixed range, so that runs are reproducible.
 * `LEDGEGAUGE_FUZZ_SEEDS=N` uses N random seeds instead.
 */
import { randomInt } from 'node:crypto';

const LARGEST_SEED = 2 ** 31 - 1;

/**
 * @param failed seeds of earlier failures
 * @param regular number of further seeds
 */
export function fuzzSeeds(failed: readonly number[], regular: number): number[] {
  const fresh = Number(process.env.LEDGEGAUGE_FUZZ_SEEDS ?? 0);
  if (fresh > 0) return Array.from({ length: fresh }, () => randomInt(LARGEST_SEED));
  return [...failed, ...Array.from({ length: regular }, (_, index) => index + 1)];
}
