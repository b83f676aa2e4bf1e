/** Retention of cached prefixes on engines while a program pauses between calls. */
export * from './hold-policy.js';
