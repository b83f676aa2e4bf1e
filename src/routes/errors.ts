import { LedgegaugeError } from '../common/index.js';

/** A route configuration that may not come into force. */
export class InvalidRouteConfigurationError extends LedgegaugeError {
  constructor(reason: string) {
    super(reason, { step: 'routes.validate' });
  }
}
