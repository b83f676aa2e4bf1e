/** Logs, metrics and the status pages of a process. */
export { GatewayMetrics } from './gateway-metrics.js';
export * from './logger.js';
export * from './status-server.js';
