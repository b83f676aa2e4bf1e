/** One tenant at many times its usual rate: the others must keep what they ask for. */
import { expect, it } from 'vitest';
import {
  CAPACITY,
  OverloadReplay,
  type ProgramRecord,
  type Source,
} from '../../tests/support/overload-replay.js';

const TENANTS = 79;
/** Shares of the usual load of the large tenants; the first one bursts. */
const LARGE_SHARES = [0.15, 0.08, 0.06];
const USUAL = 0.65;
const BURST_FACTOR = 6.9;
const BURST_FROM_MS = 4_000;
const BURST_MS = 6_000;

function sources(): Source[] {
  const smallShare =
    (1 - LARGE_SHARES.reduce((sum, share) => sum + share, 0)) / (TENANTS - LARGE_SHARES.length);
  return Array.from({ length: TENANTS }, (_, index) => {
    const usual = (LARGE_SHARES[index] ?? smallShare) * USUAL * CAPACITY;
    const isBurst = (at: number): boolean =>
      index === 0 && at >= BURST_FROM_MS && at < BURST_FROM_MS + BURST_MS;
    const rate = (at: number): number => usual * (isBurst(at) ? BURST_FACTOR : 1);
    return { priority: 0, tenant: `tenant-${index}`, rate };
  });
}

function refusedFraction(programs: readonly ProgramRecord[]): number {
  return programs.filter(({ wasRefused }) => wasRefused).length / programs.length;
}

it('limits the tenant whose rate has risen, not the others', () => {
  for (const seed of [11, 12]) {
    const run = new OverloadReplay({ admission: 'shared', sources: sources(), seed });
    run.run(BURST_FROM_MS + BURST_MS);
    const inBurst = run.programs.filter(({ offeredAt }) => offeredAt >= BURST_FROM_MS);
    const others = inBurst.filter(({ source }) => source !== 0);
    const bursting = inBurst.filter(({ source }) => source === 0);
    expect(refusedFraction(others)).toBeLessThan(0.02);
    expect(refusedFraction(bursting)).toBeGreaterThan(0.3);
  }
});
