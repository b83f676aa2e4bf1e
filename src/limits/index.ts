/** Limits that protect back ends: concurrency, retries, circuit breaking. */
export * from './circuit-breaker.js';
export * from './concurrency-limit.js';
export * from './retry-budget.js';
