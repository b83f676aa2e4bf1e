/** Sample configuration of realistic size. */
import type { RouteConfiguration } from '../../src/routes/index.js';

const ROUTE_COUNT = 200;
const TENANT_COUNT = 75;
const HASH_DIGITS = 64;

export function sampleRoutes(generation: number): RouteConfiguration {
  return {
    generation,
    routes: Array.from({ length: ROUTE_COUNT }, (_, number) => ({
      name: `route-${number}`,
      host: `host-${number % 20}.example`,
      pathPrefix: `/prefix-${number}/`,
      kind: 'streaming' as const,
      timeoutMs: 3_000,
      objectiveMs: 200,
      priority: 0,
      parts: [{ service: `service-${number % 2}`, weight: 1 + (generation % 2) }],
      maxAttempts: 2,
      retainsTurns: true,
      retentionMs: 60_000,
      hasSessionAffinity: true,
      isResumable: false,
    })),
    services: [0, 1].map((number) => ({ name: `service-${number}`, maxConnections: 450 })),
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 4_194_304,
      headerTimeoutMs: 3_000,
      idleTimeoutMs: 15_000,
    },
    tenants: Array.from({ length: TENANT_COUNT }, (_, number) => ({
      name: `tenant-${number}`,
      keyHashes: [number.toString(16).padStart(HASH_DIGITS, 'a')],
      ratePerSecond: 10,
      burst: 20,
    })),
  };
}
