/** Forwarding of calls: placement, sending, stream relay, and the interfaces of protocol adapters. */
export * from './backend-protocol.js';
export { BackendView } from './backend-view.js';
export * from './call-exchange.js';
export { CallForwarder, type CallForwarderOptions } from './call-forwarder.js';
export { ForwardingMetrics } from './forwarding-metrics.js';
export { AGING_INTERVAL_MS } from './outdated-loads.js';
export { Placement, type PlacementOptions } from './placement.js';
