import { describe, expect, it } from 'vitest';
import type { PromptPart } from './call-exchange.js';
import { PromptCacheView } from './prompt-cache-view.js';

const CAPACITY = 10_000;

function prompt(program: number, turns: number): PromptPart[] {
  const own = Array.from({ length: turns }, (_, turn) => ({
    id: `p${program}-${turn}`,
    tokens: 1_000,
  }));
  return [{ id: 'shared', tokens: 2_000 }, ...own];
}

describe('prompt cache view', () => {
  it('counts tokens from the first uncached part on', () => {
    const view = new PromptCacheView(() => CAPACITY);
    expect(view.missingTokens(prompt(1, 2))).toBe(4_000);
    view.noteSent(prompt(1, 2));
    expect(view.missingTokens(prompt(1, 2))).toBe(0);
    expect(view.missingTokens(prompt(1, 3))).toBe(1_000);
    expect(view.missingTokens(prompt(2, 2))).toBe(2_000);
  });

  it('considers a part evicted once more new tokens than the capacity were sent', () => {
    const view = new PromptCacheView(() => CAPACITY);
    view.noteSent(prompt(1, 2));
    for (let program = 2; program < 7; program += 1) view.noteSent(prompt(program, 2));
    expect(view.missingTokens(prompt(1, 2))).toBe(0);
    view.noteSent(prompt(7, 2));
    expect(view.missingTokens(prompt(1, 2))).toBe(2_000);
    expect(view.missingTokens(prompt(7, 2))).toBe(0);
  });

  it('adapts to a change of the capacity', () => {
    let capacity = CAPACITY;
    const view = new PromptCacheView(() => capacity);
    for (let program = 1; program < 4; program += 1) view.noteSent(prompt(program, 2));
    expect(view.missingTokens(prompt(1, 2))).toBe(0);
    capacity = 3_000;
    expect(view.missingTokens(prompt(1, 2))).toBe(2_000);
  });
});
