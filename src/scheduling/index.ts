/** Scheduling: admission to back ends and the order of those who wait. */
export * from './admission.js';
export * from './queue-policy.js';
