/** Limits of the back ends that may end under one request. */
export interface CrashLimits {
  /** Number of back ends that may end under one request; the request is refused afterwards. */
  maxEnds: number;
  /** Time for which the ends under a request count after the last one, in milliseconds. */
  keepMs: number;
  /** Maximum number of requests that are remembered. */
  maxRequests: number;
}

export const DEFAULT_CRASH_LIMITS: CrashLimits = {
  maxEnds: 3,
  keepMs: 300_000,
  maxRequests: 10_000,
};

/** Settings by name, with a default for each. */
export interface CrashLimitSettings {
  numberOr(name: string, fallback: number): number;
}

const MS_PER_SECOND = 1_000;

/** Reads `maxEndsPerRequest`, `endsKeptS` (in seconds) and `maxSuspectRequests`. */
export function crashLimitsOf(settings: CrashLimitSettings): CrashLimits {
  const { maxEnds, keepMs, maxRequests } = DEFAULT_CRASH_LIMITS;
  return {
    maxEnds: Math.max(1, settings.numberOr('maxEndsPerRequest', maxEnds)),
    keepMs: settings.numberOr('endsKeptS', keepMs / MS_PER_SECOND) * MS_PER_SECOND,
    maxRequests: Math.max(1, settings.numberOr('maxSuspectRequests', maxRequests)),
  };
}
