/** Client library for callers. */
export * from './errors.js';
export * from './program-client.js';
export type { Exchange, GatewayAnswer } from './transport.js';
