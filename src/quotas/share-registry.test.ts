/** What a new leader's board gives, and what a gateway's shares are good for, one step at a time. */
import { describe, expect, it } from 'vitest';
import { GatewayShares } from './gateway-shares.js';
import type { GrantedShare, HeldShare } from './messages.js';
import { ShareRegistry } from './share-registry.js';

const LEASE_MS = 3_500;
const OVERLAP_MS = 300;
const LIMIT = { name: 'office', ratePerSecond: 100, burst: 100 };

function boardOf(tenants: string[], gateways = ['g1', 'g2']): ShareRegistry {
  const board = new ShareRegistry({
    tolerance: { over: 0, slack: 0, windowMs: 5_000 },
    leaseMs: LEASE_MS,
    overlapMs: OVERLAP_MS,
    mayShare: (tenant) => tenants.includes(tenant),
  });
  board.begin({ gateways, tenants }, 0);
  board.setLimits([LIMIT], 0);
  return board;
}

function heldBy(overrides: Partial<HeldShare> = {}): HeldShare {
  const nothing = { ratePerSecond: 0, capacity: 0, level: 0, demandPerSecond: 0.5, waiting: 0 };
  return { tenant: 'office', ...nothing, ...overrides };
}

describe('the board of a new leader', () => {
  function ask(
    board: ShareRegistry,
    gateway: string,
    sequence: number,
    held: HeldShare[],
    now: number,
  ) {
    const request = { gateway, incarnation: '1', sequence, held, isPartial: false };
    return board.report(request, now)!;
  }

  it('gives nothing while the leader before may still answer', () => {
    const board = boardOf([]);
    const waiting = [heldBy({ waiting: 50 })];
    expect(ask(board, 'g1', 1, waiting, OVERLAP_MS - 1)[0]!.tokens).toBe(0);
    expect(ask(board, 'g1', 2, waiting, OVERLAP_MS + 100)[0]!.tokens).toBe(10);
  });

  it('does not give what filled while gateways that had not spoken filled it as well', () => {
    const board = boardOf(['office']);
    ask(board, 'g1', 1, [heldBy()], 1_000);
    ask(board, 'g2', 1, [heldBy()], 3_000);
    const waiting = [heldBy({ waiting: 90 })];
    expect(ask(board, 'g1', 2, waiting, 3_100)[0]!.tokens).toBe(10);
  });

  it('counts what was offered until the gateway has said what it holds', () => {
    const board = boardOf(['office'], []);
    const busy = heldBy({ demandPerSecond: 100 });
    const first = ask(board, 'g1', 1, [busy], 2_000)[0]!;
    expect(first.ratePerSecond).toBeGreaterThan(90);
    const second = ask(board, 'g2', 1, [busy], 2_010)[0]!;
    expect(first.ratePerSecond + second.ratePerSecond).toBeLessThanOrEqual(100);
  });
});

describe('the shares of a gateway', () => {
  const granted: GrantedShare = {
    tenant: 'office',
    ratePerSecond: 10,
    capacity: 10,
    tokens: 5,
    scarceForMs: 0,
    pressure: 0,
  };

  it('let nothing pass past their lease, and are no longer held after it', () => {
    const shares = new GatewayShares();
    shares.noteCall('office', 0);
    shares.applyGrants([granted], LEASE_MS, 0);
    expect(shares.take('office', false, LEASE_MS - 1)).toBe(true);
    expect(shares.take('office', false, LEASE_MS)).toBe(false);
    expect(shares.held(LEASE_MS)[0]).toMatchObject({ ratePerSecond: 0, capacity: 0, level: 0 });
  });

  it('shrink with a limit that was lowered, tokens and all', () => {
    const shares = new GatewayShares();
    shares.noteCall('office', 0);
    shares.applyGrants([{ ...granted, tokens: 10 }], LEASE_MS, 0);
    shares.scaleDown('office', 0.2, 0);
    const passed = Array.from({ length: 10 }, () => shares.take('office', false, 0));
    expect(passed.filter(Boolean)).toHaveLength(2);
  });

  it('keep a part for begun programs where the tenant asks for more than its limit', () => {
    const shares = new GatewayShares();
    shares.noteCall('office', 0);
    shares.applyGrants([{ ...granted, pressure: 1.2 }], LEASE_MS, 0);
    expect(shares.take('office', true, 0)).toBe(false);
    expect(shares.take('office', false, 0)).toBe(true);
  });

  it('tell refused callers to come back one token apart', () => {
    const shares = new GatewayShares();
    shares.noteCall('office', 0);
    shares.applyGrants([{ ...granted, tokens: 0 }], LEASE_MS, 0);
    const times = Array.from({ length: 4 }, () => shares.retryAfterMs('office', 1_000));
    expect(times).toEqual([150, 250, 350, 450]);
  });
});
