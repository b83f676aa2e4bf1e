/** Logs, metrics and the status server of a process. */
export { DurationSummary, type DurationStats } from './duration-summary.js';
export { addGauge } from './gauge.js';
export { GatewayMetrics } from './gateway-metrics.js';
export { EventLog, type EventLogOptions } from './event-log.js';
export { LineWriter, type LineRateLimit, type LineWriterOptions } from './line-writer.js';
export * from './logger.js';
export { startProcessorProfile } from './processor-profile.js';
export * from './status-server.js';
