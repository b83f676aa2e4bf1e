/** Routing: the selection of a backend for a call. */
export * from './prefix-hints.js';
export * from './routing-policy.js';
