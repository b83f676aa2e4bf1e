/** Retention of engine memory over a program's pauses. */
export * from './hold-policy.js';
