/** Seeded random numbers (pure-rand's xoroshiro128+) and distributions. */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

export class SeededRandom {
  private readonly generator: ReturnType<typeof xoroshiro128plus>;

  constructor(seed: number) {
    this.generator = xoroshiro128plus(seed);
  }

  /** A number from 0 (included) to 1 (excluded). */
  uniform(): number {
    return uniformFloat64(this.generator);
  }

  /** An integer from `low` to `high`, both included. */
  integer(low: number, high: number): number {
    return uniformInt(this.generator, low, high);
  }

  chance(probability: number): boolean {
    return this.uniform() < probability;
  }

  pick<T>(items: readonly T[]): T {
    return items[this.integer(0, items.length - 1)]!;
  }

  /** Exponentially distributed with the given mean. */
  exponential(mean: number): number {
    return -mean * Math.log(1 - this.uniform());
  }

  /** Pareto distributed: at least `minimum`, with a heavy tail for small exponents. */
  pareto(minimum: number, exponent: number): number {
    return minimum * (1 - this.uniform()) ** (-1 / exponent);
  }

  /** Creates an independent generator, so that drawing from one does not affect the other. */
  fork(): SeededRandom {
    return new SeededRandom(this.integer(-0x80000000, 0x7fffffff));
  }
}
