/** Replays engines of different speeds with gateways that each send an engine one call in several seconds. */
import { describe, expect, it } from 'vitest';
import { StatisticsReplay } from '../../tests/support/statistics-replay.js';
import type { SchedulingMode } from '../routes/index.js';

const ENGINES = 27;
const SLOWDOWNS = [1 / 0.7, 1 / 0.7, 1 / 1.7];
const NOISE = { every: 7, factor: 2.5, lastsMs: 600, periodMs: 3_000 };
const NORMAL_MS = 200;
const ON_TIME_MS = 1.3 * NORMAL_MS;
const WARM_UP_MS = 6_000;
const END_MS = 14_000;

/** Every third engine is fast, and some are slower for 0.6 s at a time. */
function slowdownOf(engine: number, atMs: number): number {
  const isNoisy =
    engine % NOISE.every === 3 && (atMs + engine * 370) % NOISE.periodMs < NOISE.lastsMs;
  return SLOWDOWNS[engine % 3]! * (isNoisy ? NOISE.factor : 1);
}

function replay(mode: SchedulingMode, secondsPerCall: number): StatisticsReplay {
  return new StatisticsReplay({
    mode,
    gateways: 60,
    zones: ['z1', 'z2', 'z3'],
    backends: ENGINES,
    slots: 6,
    queue: 18,
    rate: ENGINES / secondsPerCall,
    isModelCall: true,
    durationMs: [0.85 * NORMAL_MS, 1.15 * NORMAL_MS],
    slowdown: slowdownOf,
    seed: 31,
  });
}

function outcomeOf(mode: SchedulingMode, secondsPerCall: number) {
  const fleet = replay(mode, secondsPerCall);
  fleet.runUntil(END_MS);
  const calls = fleet.calls.filter(({ at }) => at > WARM_UP_MS);
  const answered = calls.filter(({ ending }) => ending === 'answered');
  const onTime = answered.filter(({ tookMs }) => tookMs <= ON_TIME_MS).length / calls.length;
  const errors = answered.map(({ estimatedMs, tookMs }) =>
    Math.abs(Math.log(estimatedMs / tookMs)),
  );
  const error = errors.reduce((sum, value) => sum + value, 0) / errors.length;
  return {
    fleet,
    onTime,
    error,
    rejected: calls.filter(({ ending }) => ending === 'rejected').length,
  };
}

describe('engines of different speeds', () => {
  it.each([
    { secondsPerCall: 8, gain: 0.3 },
    { secondsPerCall: 4, gain: 0.1 },
  ])(
    'finds the fast ones although a gateway calls each once in $secondsPerCall s',
    ({ secondsPerCall, gain }) => {
      const independent = outcomeOf('independent', secondsPerCall);
      const coordinated = outcomeOf('coordinated', secondsPerCall);
      console.info(
        `one call in ${secondsPerCall} s: on time ${independent.onTime.toFixed(3)} -> ${coordinated.onTime.toFixed(3)},`,
        `error ${independent.error.toFixed(3)} -> ${coordinated.error.toFixed(3)}`,
      );
      expect(coordinated.onTime).toBeGreaterThan(independent.onTime + gain);
      expect(coordinated.error).toBeLessThan(independent.error);
      expect(coordinated.rejected).toBe(0);
    },
    60_000,
  );

  it('does not let the latency models and the factors chase each other', () => {
    const fleet = replay('coordinated', 8);
    for (let seconds = 6; seconds <= 24; seconds += 3) {
      fleet.runUntil(seconds * 1_000);
      // Engine 0 has the median speed, engine 2 is faster by 1.7 / 0.7.
      expect(fleet.slowdownOf(0)).toBeGreaterThan(0.75);
      expect(fleet.slowdownOf(0)).toBeLessThan(1.35);
      expect(fleet.slowdownOf(2)).toBeGreaterThan(0.33);
      expect(fleet.slowdownOf(2)).toBeLessThan(0.6);
    }
  }, 60_000);

  it('keeps the factors of a lost leader until the next one knows as much', () => {
    const fleet = replay('coordinated', 8);
    fleet.runUntil(10_000);
    const before = fleet.slowdownOf(2);
    fleet.leader = undefined;
    fleet.runUntil(11_000);
    expect(fleet.slowdownOf(2)).toBeGreaterThan(before);
    expect(fleet.slowdownOf(2)).toBeLessThan(0.75);
    fleet.leader = fleet.newLeader();
    for (let atMs = 11_100; atMs <= 13_000; atMs += 100) {
      fleet.runUntil(atMs);
      expect(fleet.slowdownOf(2)).toBeLessThan(0.8);
    }
    expect(fleet.slowdownOf(2)).toBeLessThan(0.6);
  }, 60_000);

  it('decays to normal if no leader follows', () => {
    const fleet = replay('coordinated', 8);
    fleet.runUntil(10_000);
    fleet.leader = undefined;
    fleet.runUntil(22_000);
    expect(fleet.slowdownOf(2)).toBeGreaterThan(0.95);
  }, 60_000);

  it('does not attribute the speed of a replaced engine to its successor', () => {
    const fleet = replay('coordinated', 8);
    fleet.runUntil(10_000);
    expect(fleet.slowdownOf(2)).toBeLessThan(0.6);
    fleet.replaceBackend(2);
    expect(fleet.slowdownOf(2)).toBe(1);
  }, 60_000);
});
