/** A minimum that expires, so that a lasting change is taken for the new normal. */
import { afterEach, beforeEach, expect, it, vi } from 'vitest';
import { RecentMinimum } from './recent-minimum.js';

const PERIOD_MS = 1_000;

beforeEach(() => void vi.useFakeTimers());
afterEach(() => void vi.useRealTimers());

it('keeps a minimum for at least one period and at most two', () => {
  const minimum = new RecentMinimum(PERIOD_MS);
  expect(minimum.add(5)).toBe(5);
  expect(minimum.add(9)).toBe(5);
  vi.advanceTimersByTime(PERIOD_MS);
  expect(minimum.add(9)).toBe(5);
  vi.advanceTimersByTime(PERIOD_MS);
  expect(minimum.add(9)).toBe(9);
});

it('forgets all values after a long pause', () => {
  const minimum = new RecentMinimum(PERIOD_MS);
  minimum.add(5);
  vi.advanceTimersByTime(10 * PERIOD_MS);
  minimum.add(9);
  vi.advanceTimersByTime(PERIOD_MS);
  expect(minimum.add(9)).toBe(9);
});
