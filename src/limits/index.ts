/** Overload protection of backends: concurrency limits, retry budgets, circuit breakers. */
export * from './circuit-breaker.js';
export * from './concurrency-limit.js';
export * from './retry-budget.js';
