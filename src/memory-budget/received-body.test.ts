/** Request bodies that arrive in parts. */
import { describe, expect, it } from 'vitest';
import { createLogger } from '../observability/index.js';
import { MemoryBudget } from './memory-budget.js';
import { ReceivedBody } from './received-body.js';

function budgetOf(limitBytes: number): MemoryBudget {
  return new MemoryBudget({ memoryLimitBytes: limitBytes / 0.3, logger: createLogger({}) });
}

function bodyOf(
  budget: MemoryBudget,
  bytes: number,
  onEnded: () => void = () => undefined,
): ReceivedBody {
  const body = new ReceivedBody({ budget, onEnded });
  body.add(Buffer.alloc(bytes));
  return body;
}

describe('a request body', () => {
  it('is put together from its parts', () => {
    const body = new ReceivedBody({ budget: undefined, onEnded: () => undefined });
    for (const part of ['a', 'bc', 'd'.repeat(20_000), 'e']) body.add(Buffer.from(part));
    expect(body.length).toBe(20_004);
    expect(body.take()?.toString()).toBe(`abc${'d'.repeat(20_000)}e`);
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
    expect(budget.heldBytes).toBe(50_000);
    body.release();
    expect([budget.heldBytes, budget.holderCount]).toEqual([0, 0]);
  });

  // Bodies of requests under way were counted by nobody.
  it('stays counted while its request runs, and does not give way', () => {
    const budget = budgetOf(10_000);
    const ended: string[] = [];
    const running = bodyOf(budget, 6_000, () => ended.push('running'));
    running.take();
    running.discard();
    expect([budget.heldBytesOf('request-body'), budget.heldBytesOf('running-request')]).toEqual([
      0, 6_000,
    ]);
    bodyOf(budget, 11_000, () => ended.push('receiving'));
    expect([ended, budget.heldBytes]).toEqual([['receiving'], 6_000]);
    running.release();
    expect([budget.heldBytes, budget.holderCount]).toEqual([0, 0]);
  });

  it('is refused while running requests leave no room for it, and runs alone at any size', () => {
    const budget = budgetOf(10_000);
    let ended = 0;
    const first = bodyOf(budget, 5_500);
    expect(first.take()).toHaveLength(5_500);
    const second = bodyOf(budget, 1_000, () => (ended += 1));
    expect([second.take(), second.isDiscarded, ended]).toEqual([undefined, true, 1]);
    expect(budget.heldBytes).toBe(5_500);
    first.release();
    expect(bodyOf(budget, 1_000).take()).toHaveLength(1_000);
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
