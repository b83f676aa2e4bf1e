/** Guards against coordinated scheduling on services that did not ask for it. */
import { describe, expect, it } from 'vitest';
import type { EngineProperties, RouteConfiguration } from './route-configuration.js';
import { type SchedulingMode, schedulingModeOf, usesSharedAdmission } from './scheduling-mode.js';

function configurationWith(
  engine: EngineProperties | undefined,
  scheduling?: SchedulingMode,
): RouteConfiguration {
  return {
    generation: 1,
    routes: [],
    services: [{ name: 'engines', maxConnections: 100, engine }],
    limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
    scheduling,
  };
}

const SMALL: EngineProperties = { slots: 6, cacheTokens: 50_000, tokensPerEvent: 1 };
const LARGE: EngineProperties = { slots: 16, cacheTokens: 500_000, tokensPerEvent: 1 };

describe('scheduling mode', () => {
  it('is coordinated by default on engines with few slots and a small cache', () => {
    expect(schedulingModeOf(configurationWith(SMALL))).toBe('coordinated');
  });

  it('is independent by default on large engines, without engines and without a cache size', () => {
    expect(schedulingModeOf(configurationWith(LARGE))).toBe('independent');
    expect(schedulingModeOf(configurationWith({ ...SMALL, slots: 12 }))).toBe('independent');
    expect(schedulingModeOf(configurationWith({ ...SMALL, cacheTokens: 0 }))).toBe('independent');
    expect(schedulingModeOf(configurationWith(undefined))).toBe('independent');
  });

  it('follows the configured mode whatever the engines are', () => {
    expect(schedulingModeOf(configurationWith(SMALL, 'independent'))).toBe('independent');
    expect(schedulingModeOf(configurationWith(LARGE, 'coordinated'))).toBe('coordinated');
  });
});

describe('shared admission', () => {
  it('has to be configured and takes effect in coordinated mode only', () => {
    const small = configurationWith(SMALL);
    expect(usesSharedAdmission(small)).toBe(false);
    expect(usesSharedAdmission({ ...small, admission: 'shared' })).toBe(true);
    expect(usesSharedAdmission({ ...small, admission: 'independent' })).toBe(false);
    expect(usesSharedAdmission({ ...configurationWith(LARGE), admission: 'shared' })).toBe(false);
  });
});
