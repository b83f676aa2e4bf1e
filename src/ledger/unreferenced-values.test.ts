/** How long values wait for the log entry that names them. */
import { describe, expect, it } from 'vitest';
import { UnreferencedValues } from './unreferenced-values.js';

const LONGER_THAN_ANY_WAIT_MS = 61_000;

function startedAt(nowMs: number) {
  const clock = { nowMs };
  return { clock, unnamed: new UnreferencedValues(() => clock.nowMs) };
}

describe('a value that no entry has named', () => {
  it('expires once, after its time', () => {
    const { clock, unnamed } = startedAt(0);
    unnamed.markStored('a', 10);
    expect(unnamed.expire(100)).toEqual([]);
    clock.nowMs = LONGER_THAN_ANY_WAIT_MS;
    expect(unnamed.expire(100)).toEqual(['a']);
    expect(unnamed.bytes).toBe(0);
    expect(unnamed.expire(100)).toEqual([]);
  });

  it('stays for as long as an entry that names it may still be applied', () => {
    const { clock, unnamed } = startedAt(0);
    unnamed.markStored('a', 10);
    unnamed.markLogged('a', 7);
    expect(unnamed.bytes).toBe(10);
    clock.nowMs = LONGER_THAN_ANY_WAIT_MS;
    expect(unnamed.expire(6)).toEqual([]);
    expect(unnamed.has('a')).toBe(true);
    // Another leader's entry took the place of the one that named it.
    expect(unnamed.expire(7)).toEqual(['a']);
  });

  it('does not lose its entry when it arrives once more', () => {
    const { clock, unnamed } = startedAt(0);
    unnamed.markLogged('a', 7);
    unnamed.markStored('a', 10);
    clock.nowMs = LONGER_THAN_ANY_WAIT_MS;
    expect(unnamed.expire(6)).toEqual([]);
  });
});

it('a value whose entry was applied is no longer waited for', () => {
  const { clock, unnamed } = startedAt(0);
  unnamed.markLogged('a', 7);
  unnamed.markApplied('a', 7);
  clock.nowMs = LONGER_THAN_ANY_WAIT_MS;
  expect(unnamed.expire(7)).toEqual([]);
});

it('a value is waited for while a later entry names it than the one that was applied', () => {
  const { unnamed } = startedAt(0);
  unnamed.markLogged('a', 7);
  unnamed.markApplied('a', 5);
  expect(unnamed.has('a')).toBe(true);
  unnamed.markApplied('a', 7);
  expect(unnamed.has('a')).toBe(false);
});
