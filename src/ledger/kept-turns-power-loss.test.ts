/**
 * Randomized kills, power failures and disk losses of the ledger's group: every acknowledged kept turn must be readable
 * once all members are back, and no spent tokens may be missing.
 */
import { describe, expect, it, vi } from 'vitest';
import { playSchedules } from '../../tests/support/ledger-schedules.js';

vi.mock('node:fs/promises', async (importOriginal) => {
  const { withSimulatedDisks } = await import('../../tests/support/simulated-disk-files.js');
  return withSimulatedDisks(await importOriginal());
});

const SCHEDULES = 12;

describe('kept turns', () => {
  it('outlive drawn kills, losses of power and lost disks', async () => {
    expect(await playSchedules(SCHEDULES, 1)).toEqual([]);
  });
});
