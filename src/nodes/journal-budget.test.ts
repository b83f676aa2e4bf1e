/** Division of a journal's memory and disk, and detection of memory pressure. */
import { describe, expect, it } from 'vitest';
import { sleep } from '../common/index.js';
import { createLogger } from '../observability/index.js';
import { journalBudget } from './journal-budget.js';
import { MemoryPressureMonitor } from './memory-pressure-monitor.js';

const MIB = 1024 * 1024;

describe('journalBudget', () => {
  it('uses a small share of a small machine for log entries, pending values and the cache', () => {
    const budget = journalBudget(138 * MIB, 260 * MIB);
    const { heldEntries, pendingValues, cachedValues } = budget;
    expect(heldEntries + pendingValues + cachedValues).toBeLessThan(0.2 * 138 * MIB);
    expect(budget.total).toBeLessThan(0.7 * 138 * MIB);
    expect(budget.logOnDisk! + budget.valuesOnDisk!).toBeLessThan(0.9 * 260 * MIB);
  });

  it('caps the buffers on a large machine, and sets no total without a known limit', () => {
    expect(journalBudget(64 * 1024 * MIB, undefined).heldEntries).toBe(32 * MIB);
    const unlimited = journalBudget(undefined, undefined);
    expect(unlimited.heldEntries).toBe(32 * MIB);
    expect(unlimited.total).toBeUndefined();
    expect(unlimited.logOnDisk).toBeUndefined();
  });
});

describe('MemoryPressureMonitor', () => {
  it('reports pressure while usage is above the limit, and recovers afterwards', async () => {
    let used = 50;
    const monitor = new MemoryPressureMonitor(100, createLogger({ test: 'guard' }), () => used);
    expect(monitor.isUnderPressure()).toBe(false);
    used = 150;
    await sleep(250);
    expect(monitor.isUnderPressure()).toBe(true);
    used = 60;
    await sleep(250);
    expect(monitor.isUnderPressure()).toBe(false);
  });

  it('measures the heap and buffers of this process', () => {
    const logger = createLogger({ test: 'guard' });
    expect(new MemoryPressureMonitor(1, logger).isUnderPressure()).toBe(true);
    expect(new MemoryPressureMonitor(64 * 1024 * MIB, logger).isUnderPressure()).toBe(false);
    expect(new MemoryPressureMonitor(undefined, logger).isUnderPressure()).toBe(false);
  });
});
