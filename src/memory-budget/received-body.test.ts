/** Request bodies that arrive in parts. */
import { describe, expect, it } from 'vitest';
import { createLogger } from '../observability/index.js';
import { MemoryBudget } from './memory-budget.js';
import { ReceivedBody } from './received-body.js';

function budgetOf(limitBytes: number): MemoryBudget {
  return new MemoryBudget({ memoryLimitBytes: limitBytes / 0.3, logger: createLogger({}) });
}

describe('a request body', () => {
  it('is put together from its parts', () => {
    const body = new ReceivedBody({ budget: undefined, onEnded: () => undefined });
    for (const part of ['a', 'bc', 'd'.repeat(20_000), 'e']) body.add(Buffer.from(part));
    expect(body.length).toBe(20_004);
    expect(body.take().toString()).toBe(`abc${'d'.repeat(20_000)}e`);
  });

  it('is passed on without a copy if it arrives as a whole', () => {
    const body = new ReceivedBody({ budget: undefined, onEnded: () => undefined });
    const whole = Buffer.from('whole');
    body.add(whole);
    expect(body.take()).toBe(whole);
  });

  // A buffer takes some hundred bytes beside its content, which would not be counted.
  it('that arrives byte by byte holds little more than its length', () => {
    const budget = budgetOf(1_000_000);
    const body = new ReceivedBody({ budget, onEnded: () => undefined });
    for (let index = 0; index < 50_000; index += 1) body.add(Buffer.from([index % 256]));
    expect(budget.heldBytesOf('request-body')).toBeGreaterThanOrEqual(50_000);
    expect(budget.heldBytesOf('request-body')).toBeLessThan(50_000 + 8 * 1024 + 1);
    body.take();
    expect([budget.heldBytes, budget.holderCount]).toEqual([0, 0]);
  });

  it('that is ended gives its bytes back and takes no more', () => {
    const budget = budgetOf(10_000);
    let ended = 0;
    const body = new ReceivedBody({ budget, onEnded: () => (ended += 1) });
    body.add(Buffer.alloc(9_000));
    body.add(Buffer.alloc(9_000));
    body.add(Buffer.alloc(9_000));
    expect([ended, body.isDiscarded, budget.heldBytes, budget.holderCount]).toEqual([
      1,
      true,
      0,
      0,
    ]);
  });
});
