/** Routing: the choice of a back end for a call. */
export * from './routing-policy.js';
