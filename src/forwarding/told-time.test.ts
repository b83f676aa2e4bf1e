/** How many times as long as idle turns may take, as callers told. */
import { describe, expect, it } from 'vitest';
import { SeededRandom } from '../common/index.js';
import { ToldTime } from './told-time.js';

const CALM_MS = 200;
const PAUSE_MS = 50;
const AIM_SHARE = 1.5;

/** Programs that begin evenly and are answered as on idle engines. */
function toldAfter(seconds: number, programsPerS: number): number {
  let now = 0;
  const told = new ToldTime(() => now);
  const random = new SeededRandom(4_021);
  const turns: { at: number; programMs?: number }[] = [];
  for (let at = 0; at < seconds * 1_000; at += 1_000 / programsPerS) {
    const count = random.integer(2, 10);
    const programMs = AIM_SHARE * count * (CALM_MS + PAUSE_MS);
    for (let turn = 0; turn < count; turn += 1) {
      turns.push({
        at: at + turn * (CALM_MS + PAUSE_MS),
        programMs: turn === 0 ? programMs : undefined,
      });
    }
  }
  turns.sort((one, other) => one.at - other.at);
  for (const { at, programMs } of turns) {
    if (at > seconds * 1_000) break;
    now = at;
    told.note({ calmMs: CALM_MS, programMs });
  }
  return told.stretch;
}

describe('the time that callers told', () => {
  it('is learnt from programs of unequal length', () => {
    const expected = (AIM_SHARE * (CALM_MS + PAUSE_MS)) / CALM_MS;
    expect(toldAfter(300, 5) / expected).toBeGreaterThan(0.93);
    expect(toldAfter(300, 5) / expected).toBeLessThan(1.07);
  });

  it('is not taken for longer where traffic begins and most turns are first ones', () => {
    const expected = (AIM_SHARE * (CALM_MS + PAUSE_MS)) / CALM_MS;
    for (const seconds of [1, 2, 3, 5])
      expect(toldAfter(seconds, 50)).toBeLessThan(1.15 * expected);
  });
});
