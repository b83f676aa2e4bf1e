/** Limits the number of back ends that end under one request, over its caller's attempts and all gateways. */
export { CrashGuardMetrics } from './crash-guard-metrics.js';
export { CrashLeader, type CrashLeaderOptions } from './crash-leader.js';
export { type CrashLimits, DEFAULT_CRASH_LIMITS, crashLimitsOf } from './crash-limits.js';
export type { CrashRecord } from './crash-table.js';
export { GatewayCrashGuard, type GatewayCrashGuardOptions } from './gateway-crash-guard.js';
export {
  type CrashVersion,
  type CrashView,
  INITIAL_CRASH_VERSION,
  LIST_CRASHES,
  REMOVE_CRASHES,
  isLater,
} from './messages.js';
export { type AnsweringBackend, RequestGuard } from './request-guard.js';
export { type RequestIdentity, type RequestKey, requestKeyOf } from './request-key.js';
