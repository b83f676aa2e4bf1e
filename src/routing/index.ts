/** Routing: the choice of a back end for a call. */
export * from './prefix-hints.js';
export * from './routing-policy.js';
