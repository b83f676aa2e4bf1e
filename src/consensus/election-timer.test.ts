import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import { sleep } from '../common/index.js';
import { ElectionTimer } from './election-timer.js';

let fired: number;
let timer: ElectionTimer;

beforeEach(() => {
  vi.useFakeTimers({ toFake: ['setTimeout', 'clearTimeout', 'performance'] });
  fired = 0;
  timer = new ElectionTimer(() => {
    fired += 1;
  });
});

afterEach(() => {
  timer.stop();
  vi.useRealTimers();
});

function holdUp(milliseconds: number): void {
  const until = performance.now() + milliseconds;
  while (performance.now() < until);
}

describe('election timer', () => {
  it('fires once at its deadline, and again only after it is set again', () => {
    timer.setIn(50);
    vi.advanceTimersByTime(49);
    expect(fired).toBe(0);
    vi.advanceTimersByTime(500);
    expect(fired).toBe(1);
    timer.setIn(20);
    vi.advanceTimersByTime(30);
    expect(fired).toBe(2);
  });

  it('can be postponed repeatedly', () => {
    timer.setIn(50);
    for (let round = 0; round < 20; round += 1) {
      vi.advanceTimersByTime(40);
      timer.setIn(50);
    }
    expect(fired).toBe(0);
    vi.advanceTimersByTime(60);
    expect(fired).toBe(1);
  });

  it('bringForwardTo moves the deadline forward, but never back', () => {
    timer.setIn(500);
    timer.bringForwardTo(100);
    vi.advanceTimersByTime(110);
    expect(fired).toBe(1);
    timer.setIn(30);
    timer.bringForwardTo(100);
    vi.advanceTimersByTime(40);
    expect(fired).toBe(2);
  });

  // A leader's heartbeats may wait in the sockets of a process that was held up.
  it('is extended once, by as long as its process was held up', async () => {
    vi.useRealTimers();
    timer.setIn(20);
    holdUp(200);
    await sleep(60);
    expect(fired).toBe(0);
    holdUp(300);
    await sleep(60);
    expect(fired).toBe(1);
  });

  it('does not fire after it is stopped', () => {
    timer.setIn(50);
    timer.stop();
    vi.advanceTimersByTime(100);
    expect(fired).toBe(0);
  });
});
