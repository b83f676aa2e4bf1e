import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import { CircuitBreaker } from './circuit-breaker.js';
import { ConcurrencyLimit } from './concurrency-limit.js';
import { RetryBudget } from './retry-budget.js';

beforeEach(() => vi.useFakeTimers({ toFake: ['performance', 'setTimeout', 'Date'] }));
afterEach(() => vi.useRealTimers());

describe('circuit breaker', () => {
  function openBreaker(): CircuitBreaker {
    const breaker = new CircuitBreaker({ failureThreshold: 2, initialOpenMs: 100 });
    breaker.noteFailure();
    breaker.noteFailure();
    return breaker;
  }

  it('opens after consecutive failures only', () => {
    const breaker = new CircuitBreaker({ failureThreshold: 2 });
    breaker.noteFailure();
    breaker.noteSuccess();
    breaker.noteFailure();
    expect(breaker.allows).toBe(true);
    breaker.noteFailure();
    expect(breaker.allows).toBe(false);
  });

  it('allows one probe after the open time and closes when it succeeds', () => {
    const breaker = openBreaker();
    vi.advanceTimersByTime(200);
    expect(breaker.allows).toBe(true);
    breaker.noteSent();
    expect(breaker.allows).toBe(false);
    breaker.noteSuccess();
    expect(breaker.allows).toBe(true);
  });

  it('stays open when the probe fails', () => {
    const breaker = openBreaker();
    vi.advanceTimersByTime(200);
    breaker.noteSent();
    breaker.noteFailure();
    expect(breaker.allows).toBe(false);
  });
});

describe('concurrency limit', () => {
  it('shrinks on congestion and refusals and recovers afterwards', () => {
    const limit = new ConcurrencyLimit({ maximum: 20 });
    limit.noteLatency(10);
    for (let count = 0; count < 100; count += 1) limit.noteLatency(100);
    const congested = limit.current;
    expect(congested).toBeLessThan(20);
    limit.noteRefusal();
    expect(limit.current).toBeLessThan(congested);
    for (let count = 0; count < 400; count += 1) limit.noteLatency(10);
    expect(limit.current).toBe(20);
  });

  it('never falls below its minimum', () => {
    const limit = new ConcurrencyLimit({ maximum: 20, minimum: 3 });
    for (let count = 0; count < 50; count += 1) limit.noteRefusal();
    expect(limit.current).toBe(3);
  });

  it('has room until it is full', () => {
    const limit = new ConcurrencyLimit({ maximum: 1 });
    limit.acquire();
    expect(limit.hasRoom).toBe(false);
    limit.release();
    expect(limit.hasRoom).toBe(true);
  });
});

describe('retry budget', () => {
  it('limits retries to a fraction of first attempts', () => {
    const budget = new RetryBudget({ capacity: 2, ratio: 0.5 });
    expect([budget.tryTake(), budget.tryTake(), budget.tryTake()]).toEqual([true, true, false]);
    budget.noteFirstTry();
    expect(budget.tryTake()).toBe(false);
    budget.noteFirstTry();
    expect(budget.tryTake()).toBe(true);
  });
});
