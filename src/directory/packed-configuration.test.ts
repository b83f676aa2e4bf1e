import { describe, expect, it } from 'vitest';
import type { RouteConfiguration } from '../routes/index.js';
import { packConfiguration, unpackRoutes, unpackSource } from './packed-configuration.js';

function configurationWith(routes: number): RouteConfiguration {
  return {
    generation: 7,
    routes: Array.from({ length: routes }, (_, number) => ({
      name: `r${number}`,
      host: 'h.example',
      pathPrefix: `/p${number}/`,
      kind: 'streaming' as const,
      timeoutMs: 2_000,
      objectiveMs: 200.5,
      priority: 0,
      parts: [{ service: 's', weight: 1 }],
      maxAttempts: 2,
      retainsTurns: true,
      retentionMs: 60_000,
      hasSessionAffinity: true,
      isResumable: false,
    })),
    services: [
      { name: 's', maxConnections: 10, engine: { slots: 4, cacheTokens: 1, tokensPerEvent: 2 } },
      { name: 'plain', maxConnections: 10 },
    ],
    limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
  };
}

describe('a packed configuration', () => {
  it('returns routes and source unchanged', () => {
    const configuration = configurationWith(3);
    const packed = packConfiguration(configuration, '{"any": "text", "größe": 1}');
    expect(packed.generation).toBe(7);
    expect(unpackRoutes(packed.routes)).toEqual(configuration);
    expect(unpackSource(packed)).toBe('{"any": "text", "größe": 1}');
  });

  it('compresses thousands of routes by a factor of ten', () => {
    const configuration = configurationWith(2_000);
    const { routes } = packConfiguration(configuration, '');
    expect(routes.length).toBeLessThan(JSON.stringify(configuration).length / 10);
  });
});
