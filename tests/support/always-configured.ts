/** Options of an ingress server whose policy is known from the start. */
import type { IngressServerOptions } from '../../platform/intake-server.js';

export const ALWAYS_CONFIGURED: Pick<IngressServerOptions, 'waitForPolicy' | 'refuseUnconfigured'> =
  {
    waitForPolicy: () => Promise.resolve(),
    refuseUnconfigured: () => {
      throw new Error('there is a policy for every call');
    },
  };
