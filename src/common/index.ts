/** Utilities shared by all modules. */
export * from './backoff.js';
export * from './change-history.js';
export * from './clock.js';
export * from './decay.js';
export * from './deferred.js';
export * from './errors.js';
export * from './group-by.js';
export * from './hashing.js';
export * from './held-key.js';
export * from './lru-map.js';
export * from './moving-average.js';
export * from './signal-event.js';
export * from './tokens.js';
export * from './random.js';
export * from './rendezvous.js';
export * from './recent-minimum.js';
export * from './reported-sums.js';
