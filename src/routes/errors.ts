import { LedgegaugeError } from '../common/index.js';

/** The route configuration is invalid and must not take effect. */
export class InvalidRouteConfigurationError extends LedgegaugeError {
  constructor(reason: string) {
    super(reason, { step: 'routes.validate' });
  }
}
