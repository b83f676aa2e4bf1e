/** What a new leader grants, and how a gateway uses its shares, step by step. */
import { describe, expect, it } from 'vitest';
import { GatewayShares } from './gateway-shares.js';
import type { GrantedShare, HeldShare } from './messages.js';
import { ShareRegistry } from './share-registry.js';

const LEASE_MS = 3_500;
const OVERLAP_MS = 300;
const LIMIT = { name: 'office', ratePerSecond: 100, burst: 100 };

function registryOf(tenants: string[], gateways = ['g1', 'g2']): ShareRegistry {
  const registry = new ShareRegistry({
    tolerance: { over: 0, slack: 0, windowMs: 5_000 },
    leaseMs: LEASE_MS,
    overlapMs: OVERLAP_MS,
    mayShare: (tenant) => tenants.includes(tenant),
  });
  registry.begin({ gateways, tenants }, 0);
  registry.setLimits([LIMIT], 0);
  return registry;
}

function heldShare(overrides: Partial<HeldShare> = {}): HeldShare {
  const nothing = { ratePerSecond: 0, capacity: 0, level: 0, demandPerSecond: 0.5, waiting: 0 };
  return { tenant: 'office', ...nothing, ...overrides };
}

describe('share registry of a new leader', () => {
  function ask(
    registry: ShareRegistry,
    gateway: string,
    sequence: number,
    held: HeldShare[],
    now: number,
  ) {
    const request = { gateway, incarnation: '1', sequence, held, isPartial: false };
    return registry.report(request, now)!;
  }

  it('grants nothing while the previous leader may still respond', () => {
    const registry = registryOf([]);
    const waiting = [heldShare({ waiting: 50 })];
    expect(ask(registry, 'g1', 1, waiting, OVERLAP_MS - 1)[0]!.tokens).toBe(0);
    expect(ask(registry, 'g1', 2, waiting, OVERLAP_MS + 100)[0]!.tokens).toBe(10);
  });

  it('does not grant tokens that unreported gateways may have refilled as well', () => {
    const registry = registryOf(['office']);
    ask(registry, 'g1', 1, [heldShare()], 1_000);
    ask(registry, 'g2', 1, [heldShare()], 3_000);
    const waiting = [heldShare({ waiting: 90 })];
    expect(ask(registry, 'g1', 2, waiting, 3_100)[0]!.tokens).toBe(10);
  });

  it('counts granted shares as held until the gateway reports', () => {
    const registry = registryOf(['office'], []);
    const busy = heldShare({ demandPerSecond: 100 });
    const first = ask(registry, 'g1', 1, [busy], 2_000)[0]!;
    expect(first.ratePerSecond).toBeGreaterThan(90);
    const second = ask(registry, 'g2', 1, [busy], 2_010)[0]!;
    expect(first.ratePerSecond + second.ratePerSecond).toBeLessThanOrEqual(100);
  });
});

describe('gateway shares', () => {
  const granted: GrantedShare = {
    tenant: 'office',
    ratePerSecond: 10,
    capacity: 10,
    tokens: 5,
    scarceForMs: 0,
    pressure: 0,
  };

  it('admit nothing after the lease and are no longer held', () => {
    const shares = new GatewayShares();
    shares.noteCall('office', 0);
    shares.applyGrants([granted], LEASE_MS, 0);
    expect(shares.take('office', false, LEASE_MS - 1)).toBe(true);
    expect(shares.take('office', false, LEASE_MS)).toBe(false);
    expect(shares.held(LEASE_MS)[0]).toMatchObject({ ratePerSecond: 0, capacity: 0, level: 0 });
  });

  it('scale down with a lowered limit, including tokens', () => {
    const shares = new GatewayShares();
    shares.noteCall('office', 0);
    shares.applyGrants([{ ...granted, tokens: 10 }], LEASE_MS, 0);
    shares.scaleDown('office', 0.2, 0);
    const admitted = Array.from({ length: 10 }, () => shares.take('office', false, 0));
    expect(admitted.filter(Boolean)).toHaveLength(2);
  });

  it('reserve tokens for running programs while the tenant exceeds its limit', () => {
    const shares = new GatewayShares();
    shares.noteCall('office', 0);
    shares.applyGrants([{ ...granted, pressure: 1.2 }], LEASE_MS, 0);
    expect(shares.take('office', true, 0)).toBe(false);
    expect(shares.take('office', false, 0)).toBe(true);
  });

  it('space the retries of rejected callers by the token interval', () => {
    const shares = new GatewayShares();
    shares.noteCall('office', 0);
    shares.applyGrants([{ ...granted, tokens: 0 }], LEASE_MS, 0);
    const times = Array.from({ length: 4 }, () => shares.retryAfterMs('office', 1_000));
    expect(times).toEqual([150, 250, 350, 450]);
  });
});
