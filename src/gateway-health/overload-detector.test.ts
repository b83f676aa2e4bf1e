/** The detector replays event loop loads; each test names the false decision that it guards against. */
import { describe, expect, it } from 'vitest';
import { type EventLoopLoad, OverloadDetector } from './overload-detector.js';

const INTERVAL_MS = 200;
const BUSY: EventLoopLoad = { utilization: 0.97, delayMs: 180 };
const BETWEEN: EventLoopLoad = { utilization: 0.75, delayMs: 70 };
const IDLE: EventLoopLoad = { utilization: 0.2, delayMs: 5 };

class Replay {
  readonly detector = new OverloadDetector();
  private nowMs = 0;

  /** @returns how long the load lasted until the state changed, or `undefined` if it did not change */
  run(load: EventLoopLoad, lastsMs: number): number | undefined {
    const { isOverloaded } = this.detector;
    for (let passedMs = 0; passedMs <= lastsMs; passedMs += INTERVAL_MS) {
      this.detector.update(this.nowMs, load);
      this.nowMs += INTERVAL_MS;
      if (this.detector.isOverloaded !== isOverloaded) return passedMs;
    }
    return undefined;
  }
}

describe('the detector of an overloaded event loop', () => {
  it('reports a slowdown of 6 s after 1 s, and the end of it after 1 s', () => {
    const replay = new Replay();
    expect(replay.run(BUSY, 6_000)).toBe(1_000);
    expect(replay.run(BUSY, 5_000)).toBeUndefined();
    expect(replay.run(IDLE, 5_000)).toBe(1_000);
  });

  it('does not change its state between the thresholds', () => {
    const replay = new Replay();
    expect(replay.run(BETWEEN, 5_000)).toBeUndefined();
    replay.run(BUSY, 2_000);
    expect(replay.run(BETWEEN, 5_000)).toBeUndefined();
    expect(replay.detector.isOverloaded).toBe(true);
  });

  it.each([
    ['a high utilization with short delays', { utilization: 0.99, delayMs: 20 }],
    ['long delays with a low utilization', { utilization: 0.3, delayMs: 300 }],
  ])('ignores %s', (_name, load) => {
    expect(new Replay().run(load, 5_000)).toBeUndefined();
  });

  it('ignores peaks that are shorter than 1 s', () => {
    const replay = new Replay();
    for (let peak = 0; peak < 10; peak += 1) {
      expect(replay.run(BUSY, 600)).toBeUndefined();
      expect(replay.run(IDLE, 0)).toBeUndefined();
    }
  });

  it('ignores a stall of the process, which is one long interval', () => {
    const detector = new OverloadDetector();
    detector.update(0, IDLE);
    detector.update(6_000, { utilization: 1, delayMs: 6_000 });
    detector.update(6_250, IDLE);
    expect(detector.isOverloaded).toBe(false);
  });
});
