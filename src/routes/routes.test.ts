/** Validation of configurations, route lookup and weighted round robin. */
import { describe, expect, it } from 'vitest';
import { InvalidRouteConfigurationError } from './errors.js';
import type { Route, RouteConfiguration, Tenant } from './route-configuration.js';
import { RouteTable } from './route-table.js';
import { validateRouteConfiguration } from './validate-configuration.js';
import { WeightedRoundRobin } from './weighted-round-robin.js';

function route(overrides: Partial<Route> = {}): Route {
  return {
    name: 'r',
    host: 'a.example',
    pathPrefix: '/x/',
    kind: 'repeatable',
    timeoutMs: 1_000,
    objectiveMs: 100,
    priority: 1,
    parts: [{ service: 's', weight: 1 }],
    maxAttempts: 1,
    retainsTurns: false,
    retentionMs: 60_000,
    hasSessionAffinity: false,
    isResumable: false,
    ...overrides,
  };
}

function configuration(routes: Route[]): RouteConfiguration {
  const limits = {
    maxHeaderBytes: 16_384,
    maxBodyBytes: 1_000_000,
    headerTimeoutMs: 3_000,
    idleTimeoutMs: 15_000,
  };
  const services = [
    { name: 's', maxConnections: 10 },
    { name: 't', maxConnections: 10 },
  ];
  return { generation: 1, routes, services, limits };
}

describe('validation', () => {
  it('accepts a valid configuration', () => {
    expect(() => validateRouteConfiguration(configuration([route()]))).not.toThrow();
  });

  const invalid: [string, Route[]][] = [
    ['an unknown service', [route({ parts: [{ service: 'nobody', weight: 1 }] })]],
    ['two routes with the same host and prefix', [route(), route({ name: 'r2' })]],
    ['two routes whose hosts differ only in case', [route(), route({ host: 'A.example' })]],
    ['weights that sum to zero', [route({ parts: [{ service: 's', weight: 0 }] })]],
    ['a negative weight', [route({ parts: [{ service: 's', weight: -1 }] })]],
    ['a timeout of zero', [route({ timeoutMs: 0 })]],
    ['a prefix without a trailing slash', [route({ pathPrefix: '/x' })]],
    ['no parts', [route({ parts: [] })]],
  ];
  it.each(invalid)('rejects %s', (_name, routes) => {
    expect(() => validateRouteConfiguration(configuration(routes))).toThrow(
      InvalidRouteConfigurationError,
    );
  });
});

describe('validation of tenants', () => {
  function tenant(overrides: Partial<Tenant> = {}): Tenant {
    return { name: 'a', keyHashes: ['h1'], ratePerSecond: 0, burst: 0, ...overrides };
  }

  it.each([
    ['no tenants', undefined],
    ['an empty list', []],
    ['a tenant without keys', [tenant({ keyHashes: [] })]],
    ['a tenant with a duplicate key', [tenant({ keyHashes: ['h1', 'h1'] })]],
    ['two tenants with different keys', [tenant(), tenant({ name: 'b', keyHashes: ['h2'] })]],
  ])('accepts %s', (_, tenants) => {
    const valid = { ...configuration([route()]), tenants };
    expect(() => validateRouteConfiguration(valid)).not.toThrow();
  });

  it.each([
    ['a key of two tenants', [tenant(), tenant({ name: 'b' })], /a and b/],
    ['a duplicate name', [tenant(), tenant({ keyHashes: ['h2'] })], /name a/],
    ['an empty name', [tenant({ name: '' })], /no name/],
    ['a negative rate', [tenant({ ratePerSecond: -1 })], /tenant a.*rate/],
    ['a negative burst', [tenant({ burst: -1 })], /tenant a.*burst/],
  ])('rejects %s, naming the tenant but no key', (_, tenants, expected) => {
    const validate = (): void =>
      validateRouteConfiguration({ ...configuration([route()]), tenants });
    expect(validate).toThrow(InvalidRouteConfigurationError);
    expect(validate).toThrow(expected);
    expect(validate).not.toThrow(/h[12]/);
  });
});

describe('route table', () => {
  const table = new RouteTable(
    configuration([
      route({ name: 'short' }),
      route({ name: 'long', pathPrefix: '/x/y/' }),
      route({ name: 'other', host: 'b.example' }),
    ]),
  );

  it('selects the longest matching prefix', () => {
    expect(table.find('a.example', '/x/y/z')?.route.name).toBe('long');
    expect(table.find('a.example', '/x/yz')?.route.name).toBe('short');
  });

  it('matches hosts case-insensitively', () => {
    expect(table.find('B.EXAMPLE', '/x/1')?.route.name).toBe('other');
    expect(table.find('c.example', '/x/1')).toBeUndefined();
    expect(table.find('a.example', '/z/')).toBeUndefined();
  });
});

describe('weighted round robin', () => {
  it.each([
    [[90, 10], 1_000],
    [[1, 1, 2], 400],
    [[0, 5], 100],
  ])('distributes exactly by the weights %j', (weights, rounds) => {
    const roundRobin = new WeightedRoundRobin(weights);
    const total = weights.reduce((sum, weight) => sum + weight, 0);
    const counts = weights.map(() => 0);
    for (let round = 0; round < rounds; round += 1) counts[roundRobin.next()]! += 1;
    for (const [index, weight] of weights.entries()) {
      expect(Math.abs(counts[index]! - (rounds * weight) / total)).toBeLessThanOrEqual(1);
    }
  });
});
