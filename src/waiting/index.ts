/** Ordered waiting: calls wait in their gateway until a backend can soon process them. */
export { CallQueue, DEFAULT_QUEUE_BOUNDS, type QueueBounds } from './call-queue.js';
export { DispatchLimit, type BackendOccupancy, type ServiceState } from './dispatch-limit.js';
export type { WaitingCall, WaitingCount } from './waiting-call.js';
export { PermitGate, type PermitGateOptions } from './permit-gate.js';
export type { PermitCall, PermitRefusal, PermitRequest } from './permit-request.js';
export { WaitingMetrics } from './waiting-metrics.js';
export { WaitingReportStore } from './waiting-reports.js';
