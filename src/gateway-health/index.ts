/** Readiness of gateways that are overloaded or cut off from the control processes, in `coordinated` mode. */
export { CutOffSignal } from './cut-off-signal.js';
export { EventLoopMeter } from './event-loop-meter.js';
export { GatewayHealth, type GatewayHealthOptions, type ObservedLedger } from './gateway-health.js';
export { HealthMetrics, type UnreadyReason } from './health-metrics.js';
export type { HealthReport, ZoneHealth } from './messages.js';
export { ZoneHealthBoard } from './zone-health-board.js';
