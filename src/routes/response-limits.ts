/** Defaults of the limits on what backends send, and their settings. */
import type { ResponseLimits } from './route-configuration.js';

const MEBIBYTE = 1024 * 1024;

export const DEFAULT_RESPONSE_LIMITS: ResponseLimits = {
  maxEventBytes: 4 * MEBIBYTE,
  maxResponseBytes: 64 * MEBIBYTE,
  maxTurnBytes: 16 * MEBIBYTE,
};

/** Settings by name, with a default for each. */
interface ResponseLimitSettings {
  numberOr(name: string, fallback: number): number;
}

/** Reads `maxEventBytes`, `maxResponseBytes` and `maxTurnBytes`. */
export function responseLimitsOf(settings: ResponseLimitSettings): ResponseLimits {
  const { maxEventBytes, maxResponseBytes, maxTurnBytes } = DEFAULT_RESPONSE_LIMITS;
  return {
    maxEventBytes: settings.numberOr('maxEventBytes', maxEventBytes),
    maxResponseBytes: settings.numberOr('maxResponseBytes', maxResponseBytes),
    maxTurnBytes: settings.numberOr('maxTurnBytes', maxTurnBytes),
  };
}
