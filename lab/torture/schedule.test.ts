import { describe, expect, it } from 'vitest';
import { ALL_FAULTS, selectFaults } from './faults/index.js';
import { createSchedule } from './schedule.js';

describe('torture schedule', () => {
  it('is determined by its seed', () => {
    expect(createSchedule(7, ALL_FAULTS)).toEqual(createSchedule(7, ALL_FAULTS));
  });

  it('covers each fault, as a single fault, combined with another and repeated', () => {
    const schedules = Array.from({ length: 200 }, (_, seed) => createSchedule(seed, ALL_FAULTS));
    const first = new Set(schedules.map(({ faults }) => faults[0]!.fault.name));
    expect(first.size).toBe(ALL_FAULTS.length);
    expect(schedules.some(({ faults }) => faults.length === 1)).toBe(true);
    const pairs = schedules.filter(({ faults }) => faults.length === 2);
    expect(pairs.some(({ faults: [one, two] }) => one!.fault === two!.fault)).toBe(true);
    expect(pairs.some(({ faults: [one, two] }) => one!.fault !== two!.fault)).toBe(true);
  });

  it('includes at most one disk fault', () => {
    for (let seed = 0; seed < 500; seed += 1) {
      const { faults } = createSchedule(seed, ALL_FAULTS);
      const disks = faults.filter(({ fault }) => fault.family === 'disk');
      expect(disks.length, `seed ${seed}`).toBeLessThanOrEqual(1);
    }
  });

  it('selects faults by name and rejects unknown names', () => {
    expect(selectFaults('jitter,disk-lost').map((fault) => fault.name)).toEqual([
      'jitter',
      'disk-lost',
    ]);
    expect(() => selectFaults('earthquake')).toThrow('unknown fault earthquake');
  });
});
