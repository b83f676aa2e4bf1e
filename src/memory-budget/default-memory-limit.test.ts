import { describe, expect, it } from 'vitest';
import { defaultMemoryLimitBytes } from './default-memory-limit.js';

const GIBIBYTE = 1024 ** 3;
/** What a control group without a limit tells. */
const UNLIMITED_BYTES = 2 ** 63;

describe('the memory limit of a process that was told none', () => {
  it.each([
    ['a control group', 8 * GIBIBYTE, 2 * GIBIBYTE, GIBIBYTE],
    ['a control group without a limit', 8 * GIBIBYTE, UNLIMITED_BYTES, 4 * GIBIBYTE],
    ['no control group', 8 * GIBIBYTE, 0, 4 * GIBIBYTE],
  ])('is half of what there is with %s', (_, machineBytes, constrainedBytes, limitBytes) => {
    expect(defaultMemoryLimitBytes(machineBytes, constrainedBytes)).toBe(limitBytes);
  });

  it('is finite on this machine', () => {
    expect(defaultMemoryLimitBytes()).toBeGreaterThan(0);
    expect(defaultMemoryLimitBytes()).toBeLessThan(Infinity);
  });
});
