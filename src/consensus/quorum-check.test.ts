/**
 * Symptom: none in operation; found by asking for how long a leader without a quorum may go on answering.
 * Sequence: a leader's process is late at every check, and its quorum is gone.
 * Cause: each late check granted the grace that was meant for the one after a standstill.
 * What settled it: ten checks in a row, each late, none of which found the quorum lost.
 */
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import { QuorumCheck } from './quorum-check.js';

const TIMING = { heartbeatIntervalMs: 60, electionTimeoutMs: 300 };
const DELAYED_INTERVAL_MS = 400;
const STALL_MS = 4_000;

beforeEach(() => void vi.useFakeTimers({ toFake: ['performance'] }));
afterEach(() => void vi.useRealTimers());

describe('the check for a quorum', () => {
  it('finds it lost though each check is late', () => {
    const contactMs = performance.now();
    const check = new QuorumCheck(TIMING);
    const found = Array.from({ length: 10 }, () => {
      vi.advanceTimersByTime(DELAYED_INTERVAL_MS);
      return check.isQuorumLost(contactMs);
    });
    expect(found.indexOf(true)).toBeGreaterThanOrEqual(0);
    expect(found.indexOf(true)).toBeLessThan(3);
  });

  it('keeps a leader that is late at each check but is answered', () => {
    const check = new QuorumCheck(TIMING);
    for (let round = 0; round < 10; round += 1) {
      const sentAt = performance.now();
      vi.advanceTimersByTime(DELAYED_INTERVAL_MS);
      expect(check.isQuorumLost(sentAt)).toBe(false);
    }
  });

  it('lets answers be read after a standstill, once', () => {
    const contactMs = performance.now();
    const check = new QuorumCheck(TIMING);
    vi.advanceTimersByTime(STALL_MS);
    expect(check.isQuorumLost(contactMs)).toBe(false);
    vi.advanceTimersByTime(TIMING.heartbeatIntervalMs);
    expect(check.isQuorumLost(contactMs)).toBe(true);
  });
});
