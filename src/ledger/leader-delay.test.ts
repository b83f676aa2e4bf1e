/** A gateway that refuses all programs hears nothing of the leader, and must not refuse forever. */
import { afterEach, beforeEach, expect, it, vi } from 'vitest';
import { LeaderDelay } from './leader-delay.js';

beforeEach(() => void vi.useFakeTimers());
afterEach(() => void vi.useRealTimers());

it('a reported delay loses its weight while no response arrives', () => {
  const delay = new LeaderDelay();
  expect(delay.currentMs).toBe(0);
  delay.note(400);
  expect(delay.currentMs).toBe(400);
  vi.advanceTimersByTime(500);
  expect(delay.currentMs).toBe(200);
  vi.advanceTimersByTime(3_500);
  expect(delay.currentMs).toBeLessThan(2);
});
