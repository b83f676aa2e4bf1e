/** Routes of forwarded calls: configuration, validation and lookup. */
export * from './errors.js';
export * from './route-configuration.js';
export { DEFAULT_RESPONSE_LIMITS, responseLimitsOf } from './response-limits.js';
export { CompiledRoute, RouteTable } from './route-table.js';
export {
  ADMISSION_MODES,
  type AdmissionMode,
  SCHEDULING_MODES,
  type SchedulingMode,
  schedulingModeOf,
  usesSharedAdmission,
} from './scheduling-mode.js';
export { validateRouteConfiguration } from './validate-configuration.js';
export { WeightedRoundRobin } from './weighted-round-robin.js';
