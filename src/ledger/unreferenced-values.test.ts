/** Retention of values until their log entry is applied. */
import { describe, expect, it } from 'vitest';
import { UnreferencedValues } from './unreferenced-values.js';

const AFTER_MAX_WAIT_MS = 61_000;

function createTracker(nowMs: number) {
  const clock = { nowMs };
  return { clock, values: new UnreferencedValues(() => clock.nowMs) };
}

describe('an unreferenced value', () => {
  it('expires once after the maximum wait', () => {
    const { clock, values } = createTracker(0);
    values.markStored('a', 10);
    expect(values.expire(100)).toEqual([]);
    clock.nowMs = AFTER_MAX_WAIT_MS;
    expect(values.expire(100)).toEqual(['a']);
    expect(values.bytes).toBe(0);
    expect(values.expire(100)).toEqual([]);
  });

  it('is retained while an entry that refers to it may still be applied', () => {
    const { clock, values } = createTracker(0);
    values.markStored('a', 10);
    values.markLogged('a', 7);
    expect(values.bytes).toBe(10);
    clock.nowMs = AFTER_MAX_WAIT_MS;
    expect(values.expire(6)).toEqual([]);
    expect(values.has('a')).toBe(true);
    // An entry of another leader replaced the one that referred to it.
    expect(values.expire(7)).toEqual(['a']);
  });

  it('keeps its log index if it is stored again', () => {
    const { clock, values } = createTracker(0);
    values.markLogged('a', 7);
    values.markStored('a', 10);
    clock.nowMs = AFTER_MAX_WAIT_MS;
    expect(values.expire(6)).toEqual([]);
  });
});

it('a value is no longer tracked once its entry is applied', () => {
  const { clock, values } = createTracker(0);
  values.markLogged('a', 7);
  values.markApplied('a', 7);
  clock.nowMs = AFTER_MAX_WAIT_MS;
  expect(values.expire(7)).toEqual([]);
});

it('a value is tracked while an unapplied entry refers to it', () => {
  const { values } = createTracker(0);
  values.markLogged('a', 7);
  values.markApplied('a', 5);
  expect(values.has('a')).toBe(true);
  values.markApplied('a', 7);
  expect(values.has('a')).toBe(false);
});
