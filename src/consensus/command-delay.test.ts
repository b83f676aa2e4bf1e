/** Delay of commands beyond their latency without load. */
import { afterEach, beforeEach, expect, it, vi } from 'vitest';
import { CommandDelay } from './command-delay.js';

const FAR_MEMBERS_MS = 80;
const MAX_IDLE_MS = 100;

beforeEach(() => void vi.useFakeTimers());
afterEach(() => void vi.useRealTimers());

function noteFor(delay: CommandDelay, latencyMs: number, forMs: number): void {
  for (let passedMs = 0; passedMs < forMs; passedMs += 10) {
    vi.advanceTimersByTime(10);
    delay.note(latencyMs);
  }
}

it('does not count the latency between members that are far apart', () => {
  const delay = new CommandDelay(MAX_IDLE_MS);
  noteFor(delay, FAR_MEMBERS_MS, 2_000);
  expect(delay.meanMs).toBe(0);
});

it('shows a lasting delay within half a second, and its end as fast', () => {
  const delay = new CommandDelay(MAX_IDLE_MS);
  noteFor(delay, 5, 1_000);
  noteFor(delay, 105, 500);
  expect(delay.meanMs).toBeGreaterThan(75);
  noteFor(delay, 5, 500);
  expect(delay.meanMs).toBeLessThan(25);
});

it('hardly shows a single slow batch', () => {
  const delay = new CommandDelay(MAX_IDLE_MS);
  noteFor(delay, 5, 1_000);
  for (let command = 0; command < 50; command += 1) delay.note(205);
  vi.advanceTimersByTime(10);
  delay.note(5);
  expect(delay.meanMs).toBeLessThan(10);
});

it('shows the delay of a leader whose commands have never been fast', () => {
  const delay = new CommandDelay(MAX_IDLE_MS);
  noteFor(delay, 400, 1_000);
  expect(delay.meanMs).toBeGreaterThan(250);
});
