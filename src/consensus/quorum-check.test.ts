/**
 * Regression test: a leader whose process was late at every check never noticed that it had lost
 * its quorum, because each late check granted the grace period meant for a single stall.
 */
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import { QuorumCheck } from './quorum-check.js';

const TIMING = { heartbeatIntervalMs: 60, electionTimeoutMs: 300 };
const DELAYED_INTERVAL_MS = 400;
const STALL_MS = 4_000;

beforeEach(() => void vi.useFakeTimers({ toFake: ['performance'] }));
afterEach(() => void vi.useRealTimers());

describe('quorum check', () => {
  it('detects a lost quorum even if each check is late', () => {
    const contactMs = performance.now();
    const check = new QuorumCheck(TIMING);
    const found = Array.from({ length: 10 }, () => {
      vi.advanceTimersByTime(DELAYED_INTERVAL_MS);
      return check.isQuorumLost(contactMs);
    });
    expect(found.indexOf(true)).toBeGreaterThanOrEqual(0);
    expect(found.indexOf(true)).toBeLessThan(3);
  });

  it('keeps a leader that is late at each check but gets responses', () => {
    const check = new QuorumCheck(TIMING);
    for (let round = 0; round < 10; round += 1) {
      const sentAt = performance.now();
      vi.advanceTimersByTime(DELAYED_INTERVAL_MS);
      expect(check.isQuorumLost(sentAt)).toBe(false);
    }
  });

  it('grants one grace period after a stall to read responses', () => {
    const contactMs = performance.now();
    const check = new QuorumCheck(TIMING);
    vi.advanceTimersByTime(STALL_MS);
    expect(check.isQuorumLost(contactMs)).toBe(false);
    vi.advanceTimersByTime(TIMING.heartbeatIntervalMs);
    expect(check.isQuorumLost(contactMs)).toBe(true);
  });
});
