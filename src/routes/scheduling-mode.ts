/** Decides whether gateways schedule calls on their own or with state that all of them share. */
import type { EngineProperties, RouteConfiguration } from './route-configuration.js';

/** `coordinated`: gateways share backend statistics and the counts of waiting calls; see `AdmissionMode` for admission. */
export const SCHEDULING_MODES = ['independent', 'coordinated'] as const;
export type SchedulingMode = (typeof SCHEDULING_MODES)[number];

/** `shared`: in coordinated mode, one decision for all gateways by class and tenant; otherwise each limits on its own. */
export const ADMISSION_MODES = ['independent', 'shared'] as const;
export type AdmissionMode = (typeof ADMISSION_MODES)[number];

/**
 * An engine up to this size is filled by a handful of calls. A gateway that sees few of these calls cannot learn the
 * engine's speed and load from its own calls alone.
 */
const SMALL_ENGINE_MAX_SLOTS = 8;
const SMALL_ENGINE_MAX_CACHE_TOKENS = 100_000;

/** The configured mode; without one, `coordinated` if any service runs on small engines. */
export function schedulingModeOf({ scheduling, services }: RouteConfiguration): SchedulingMode {
  if (scheduling) return scheduling;
  const hasSmallEngines = services.some(({ engine }) => engine !== undefined && isSmall(engine));
  return hasSmallEngines ? 'coordinated' : 'independent';
}

/**
 * Shared admission has to be configured: it protects tenants from each other and keeps programs on time that were
 * admitted, but refuses more programs at the beginning of a burst than gateways that limit on their own.
 */
export function usesSharedAdmission(configuration: RouteConfiguration): boolean {
  return schedulingModeOf(configuration) === 'coordinated' && configuration.admission === 'shared';
}

/** The cache size is 0 if it is not configured. */
function isSmall({ slots, cacheTokens }: EngineProperties): boolean {
  const hasSmallCache = cacheTokens > 0 && cacheTokens <= SMALL_ENGINE_MAX_CACHE_TOKENS;
  return slots <= SMALL_ENGINE_MAX_SLOTS && hasSmallCache;
}
