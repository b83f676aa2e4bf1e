/** Latency estimation of backends from the calls of this process, and their utilization. */
export { SlowdownEstimator } from './slowdown-estimator.js';
export { type CallWork, LatencyModel } from './latency-model.js';
export { clampLogRatio, logLatencyRatio } from './latency-ratio.js';
export { type Occupancy, totalCapacityOf, utilizationOf } from './utilization.js';
