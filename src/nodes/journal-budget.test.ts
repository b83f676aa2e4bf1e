/** How a journal process divides what it may take, and when it refuses work. */
import { describe, expect, it } from 'vitest';
import { sleep } from '../common/index.js';
import { createLogger } from '../observability/index.js';
import { journalBudget } from './journal-budget.js';
import { MemoryPressureMonitor } from './memory-pressure-monitor.js';

const MIB = 1024 * 1024;

describe('the budget of a journal', () => {
  it('takes a small part of a small machine for what is held, waits and is cached', () => {
    const budget = journalBudget(138 * MIB, 260 * MIB);
    const { heldEntries, pendingValues, cachedValues } = budget;
    expect(heldEntries + pendingValues + cachedValues).toBeLessThan(0.2 * 138 * MIB);
    expect(budget.total).toBeLessThan(0.7 * 138 * MIB);
    expect(budget.logOnDisk! + budget.valuesOnDisk!).toBeLessThan(0.9 * 260 * MIB);
  });

  it('does not grow beyond what is enough, and has no limit where none is known', () => {
    expect(journalBudget(64 * 1024 * MIB, undefined).heldEntries).toBe(32 * MIB);
    const unlimited = journalBudget(undefined, undefined);
    expect(unlimited.heldEntries).toBe(32 * MIB);
    expect(unlimited.total).toBeUndefined();
    expect(unlimited.logOnDisk).toBeUndefined();
  });
});

describe('the guard of a process', () => {
  it('refuses work while too much is used, and takes it again after', async () => {
    let used = 50;
    const guard = new MemoryPressureMonitor(100, createLogger({ test: 'guard' }), () => used);
    expect(guard.isUnderPressure()).toBe(false);
    used = 150;
    await sleep(250);
    expect(guard.isUnderPressure()).toBe(true);
    used = 60;
    await sleep(250);
    expect(guard.isUnderPressure()).toBe(false);
  });

  it('measures heap and buffers of this process', () => {
    const logger = createLogger({ test: 'guard' });
    expect(new MemoryPressureMonitor(1, logger).isUnderPressure()).toBe(true);
    expect(new MemoryPressureMonitor(64 * 1024 * MIB, logger).isUnderPressure()).toBe(false);
    expect(new MemoryPressureMonitor(undefined, logger).isUnderPressure()).toBe(false);
  });
});
