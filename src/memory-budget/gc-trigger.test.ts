/** Garbage outside the heap was collected so late that fast peers filled a process with it. */
import { expect, it } from 'vitest';
import { createLogger } from '../observability/index.js';
import { GcTrigger } from './gc-trigger.js';
import { MemoryBudget } from './memory-budget.js';

const MEGABYTE = 1_000_000;
const MEMORY_LIMIT_BYTES = 100 * MEGABYTE;
/** More than the bytes between two checks. */
const RECEIVED_BYTES = 5 * MEGABYTE;

function createTrigger(): {
  trigger: GcTrigger;
  process: { allocatedBytes: number; rss: number };
  budget: MemoryBudget;
} {
  const logger = createLogger({ test: 'gc-trigger' });
  const budget = new MemoryBudget({ memoryLimitBytes: MEMORY_LIMIT_BYTES, logger });
  const process = { allocatedBytes: 20 * MEGABYTE, rss: 70 * MEGABYTE };
  const trigger = new GcTrigger();
  trigger.configure({
    memoryLimitBytes: MEMORY_LIMIT_BYTES,
    budget,
    readMemory: () => ({ rss: process.rss, heapUsed: 0, external: process.allocatedBytes }),
    collect: () => (process.allocatedBytes = 21 * MEGABYTE),
  });
  trigger.noteReceived(RECEIVED_BYTES);
  return { trigger, process, budget };
}

it('collects once a part of the memory limit is allocated beside what is held', () => {
  const { trigger, process } = createTrigger();
  process.allocatedBytes = 26 * MEGABYTE;
  trigger.noteReceived(RECEIVED_BYTES);
  expect(trigger.collections).toBe(0);
  process.allocatedBytes = 30 * MEGABYTE;
  trigger.noteReceived(RECEIVED_BYTES);
  expect(trigger.collections).toBe(1);
  trigger.noteReceived(RECEIVED_BYTES);
  expect(trigger.collections).toBe(1);
});

it('does not collect for what is held', () => {
  const { trigger, process, budget } = createTrigger();
  const end = (): void => undefined;
  budget.hold({ kind: 'answer', end }).resize(20 * MEGABYTE);
  process.allocatedBytes = 40 * MEGABYTE;
  trigger.noteReceived(RECEIVED_BYTES);
  expect(trigger.collections).toBe(0);
});

it('does not collect while the process is far from its memory limit', () => {
  const { trigger, process } = createTrigger();
  process.allocatedBytes = 40 * MEGABYTE;
  process.rss = 50 * MEGABYTE;
  trigger.noteReceived(RECEIVED_BYTES);
  expect(trigger.collections).toBe(0);
});

it('measures nothing before enough bytes were received', () => {
  const { trigger, process } = createTrigger();
  process.allocatedBytes = 90 * MEGABYTE;
  trigger.noteReceived(MEGABYTE / 10);
  expect(trigger.collections).toBe(0);
});
