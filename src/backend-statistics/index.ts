/** Shared backend statistics: speed and failures of backends, merged from the calls of all gateways. */
export type { AttemptEnd } from './attempt-result.js';
export { BackendStatistics, type BackendStatisticsOptions } from './backend-statistics.js';
export { callsOverCache } from './cache-memory.js';
export { drawForFirstTurn, drawProbe, selectForPlainCall } from './candidates.js';
export type { StatisticsReport } from './messages.js';
export { StatisticsMetrics } from './statistics-metrics.js';
export { BackendStatisticsStore } from './statistics-store.js';
export { drawUnseenCalls, meanUnseenCalls } from './unseen-calls.js';
