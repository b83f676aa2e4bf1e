/**
 * Randomized kills, power failures and disk losses of processes that each hold several groups of the ledger, in one log and
 * one store of values: every turn that any group acknowledged must be readable once all members are back.
 */
import { describe, expect, it, vi } from 'vitest';
import { playSchedules } from '../../tests/support/ledger-schedules.js';

vi.mock('node:fs/promises', async (importOriginal) => {
  const { withSimulatedDisks } = await import('../../tests/support/simulated-disk-files.js');
  return withSimulatedDisks(await importOriginal());
});

const SCHEDULES = 12;
const GROUPS = 2;

describe('kept turns of several groups', () => {
  it('outlive drawn kills, losses of power and lost disks', async () => {
    expect(await playSchedules(SCHEDULES, GROUPS)).toEqual([]);
  });
});
