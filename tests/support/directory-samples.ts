/** Sample values of the directory for tests. */
import { type BackendRegistration, incarnationId } from '../../src/directory/index.js';
import type { RouteConfiguration } from '../../src/routes/index.js';

/** A configuration without routes. */
export function emptyConfiguration(generation: number): RouteConfiguration {
  const limits = { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 };
  return { generation, routes: [], services: [], limits };
}

export function sampleRegistration(
  overrides: Partial<BackendRegistration> = {},
): BackendRegistration {
  const name = overrides.name ?? overrides.id ?? 'i-1';
  return {
    id: incarnationId({ name, startedAt: overrides.startedAt }),
    name,
    service: 's',
    address: '127.0.0.1:1000',
    zone: 'z',
    slots: 4,
    phase: 'ready',
    sequence: 1,
    ...overrides,
  };
}
