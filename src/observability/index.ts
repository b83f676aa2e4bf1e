/** Logs, metrics and the status pages of a process. */
export { addGauge } from './gauge.js';
export { GatewayMetrics } from './gateway-metrics.js';
export * from './logger.js';
export * from './status-server.js';
