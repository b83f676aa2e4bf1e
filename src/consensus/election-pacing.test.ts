import { describe, expect, it } from 'vitest';
import { ElectionPacing } from './election-pacing.js';

const TIMEOUT_MS = 300;

describe('pacing of elections', () => {
  it('leaves the configured timeout as it is while round trips and silences are short', () => {
    const pacing = new ElectionPacing();
    for (let count = 0; count < 20; count += 1) {
      pacing.noteRoundTrip(5);
      pacing.noteSilence(190);
    }
    expect(pacing.timeoutMs(TIMEOUT_MS)).toBe(TIMEOUT_MS);
  });

  it('takes a longer latency at once, and forgets it gradually', () => {
    const pacing = new ElectionPacing();
    pacing.noteRoundTrip(200);
    expect(pacing.timeoutMs(TIMEOUT_MS)).toBe(800);
    pacing.noteRoundTrip(5);
    expect(pacing.timeoutMs(TIMEOUT_MS)).toBeGreaterThan(700);
    for (let count = 0; count < 40; count += 1) pacing.noteRoundTrip(5);
    expect(pacing.timeoutMs(TIMEOUT_MS)).toBe(TIMEOUT_MS);
  });

  // A process that was frozen must not wait for ever for its next election.
  it('is bounded', () => {
    const pacing = new ElectionPacing();
    pacing.noteSilence(60_000);
    expect(pacing.timeoutMs(TIMEOUT_MS)).toBe(1_500);
  });

  it('spreads candidates further apart with each lost election, up to a limit, until there is a leader', () => {
    const pacing = new ElectionPacing(() => 1);
    const delaysAfterLosses = (): number[] =>
      Array.from({ length: 6 }, () => {
        const delayMs = pacing.electionDelayMs(100);
        pacing.noteLostElection();
        return delayMs;
      });
    pacing.noteRoundTrip(25);
    expect(delaysAfterLosses()).toEqual([200, 300, 500, 900, 900, 900]);
    pacing.noteLeader();
    expect(pacing.electionDelayMs(100)).toBe(200);
  });

  // Elections that take a fraction of the timeout seldom meet; a longer delay would only prolong the time without a leader.
  it('hardly spreads candidates whose round trips are short', () => {
    const pacing = new ElectionPacing(() => 1);
    pacing.noteRoundTrip(1);
    for (let count = 0; count < 6; count += 1) pacing.noteLostElection();
    expect(pacing.electionDelayMs(TIMEOUT_MS)).toBeLessThan(2.1 * TIMEOUT_MS);
  });

  it('postpones by whole timeouts', () => {
    expect(new ElectionPacing(() => 0).electionDelayMs(100, 2)).toBe(300);
  });
});
