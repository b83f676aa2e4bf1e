/** Scheduling: admission to backends and the order of the queue. */
export * from './admission.js';
export * from './queue-policy.js';
