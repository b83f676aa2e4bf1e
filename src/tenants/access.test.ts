/** Authorization by key, the lease of known keys, and scoped ids. */
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { sha256Hex } from '../common/index.js';
import { FRESH_KEYS_MAX_AGE_MS, decideAccess, keyLeaseMs } from './access.js';
import { scopedId } from './scoped-id.js';
import { TenantTable } from './tenant-table.js';

const LEASE_MS = 4_500;
const OFFICE = { name: 'office', keyHashes: [sha256Hex('k1')], ratePerSecond: 0, burst: 0 };
const tenants = new TenantTable([OFFICE, { ...OFFICE, name: 'keyless', keyHashes: [] }]);
const keyRoute = { isAnonymous: false };
const anonymousRoute = { isAnonymous: true };

function decide(route: typeof keyRoute, key: string | undefined, ageMs: number): string {
  return decideAccess(route, key, { tenants, ageMs, leaseMs: LEASE_MS }).kind;
}

describe('authorization', () => {
  it('assigns a call to the tenant of its key', () => {
    const decision = decideAccess(keyRoute, 'k1', { tenants, ageMs: 0, leaseMs: LEASE_MS });
    expect(decision).toEqual({ kind: 'allowed', tenant: OFFICE });
  });

  it.each([
    ['known, within the lease', keyRoute, 'k1', LEASE_MS - 1, 'allowed'],
    ['known, at the end of the lease', keyRoute, 'k1', LEASE_MS, 'uncertain'],
    ['known, before any leader responded', keyRoute, 'k1', Infinity, 'uncertain'],
    ['unknown, with a fresh snapshot', keyRoute, 'k2', 0, 'unknown-key'],
    ['unknown, with a stale snapshot', keyRoute, 'k2', FRESH_KEYS_MAX_AGE_MS + 1, 'uncertain'],
    ['none', keyRoute, undefined, 0, 'unknown-key'],
    ['none, with a stale snapshot', keyRoute, undefined, 9_000, 'uncertain'],
    ['empty', keyRoute, '', 0, 'unknown-key'],
    ['none, on an anonymous route', anonymousRoute, undefined, 9_000, 'allowed'],
    ['unknown, on an anonymous route', anonymousRoute, 'k2', 0, 'allowed'],
    ['known, on an anonymous route, after the lease', anonymousRoute, 'k1', LEASE_MS, 'uncertain'],
  ])('%s', (_, route, key, ageMs, expected) => {
    expect(decide(route, key, ageMs)).toBe(expected);
  });

  it('requires no key without declared tenants and accepts no key with an empty list', () => {
    const snapshot = { ageMs: Infinity, leaseMs: LEASE_MS };
    const none = new TenantTable(undefined);
    const empty = new TenantTable([]);
    expect(decideAccess(keyRoute, undefined, { ...snapshot, tenants: none }).kind).toBe('allowed');
    expect(decideAccess(keyRoute, 'k1', { tenants: empty, ageMs: 0, leaseMs: 1 }).kind).toBe(
      'unknown-key',
    );
  });
});

/**
 * Random schedules of a stale leader: the majority elects a new leader, which revokes a key, while a gateway still gets
 * responses from the old one and sends calls after a delay.
 */
describe('key lease', () => {
  const BOUND_MS = 5_000;
  const step = fc.integer({ min: 0, max: 8_000 });

  it('allows no call that is sent later than the bound after the revocation', () => {
    const schedule = fc.record({
      quorumLeft: step,
      untilAcknowledged: step,
      asked: step,
      answeredAfter: step,
      decidedAfter: step,
    });
    fc.assert(
      fc.property(schedule, (drawn) => {
        const acknowledgedAt = drawn.quorumLeft + drawn.untilAcknowledged;
        const leaderAnswersAt = drawn.asked + drawn.answeredAfter;
        // The old leader was last confirmed when the majority left it.
        const confirmedAgeMs = Math.max(0, leaderAnswersAt - drawn.quorumLeft);
        const certainAt = drawn.asked - confirmedAgeMs;
        const decidedAt = leaderAnswersAt + drawn.decidedAfter;
        const ageMs = decidedAt - certainAt;
        const snapshot = { tenants, ageMs, leaseMs: keyLeaseMs(BOUND_MS) };
        const isAllowed = decideAccess(keyRoute, 'k1', snapshot).kind === 'allowed';
        const latestSendAt = decidedAt;
        expect(isAllowed && latestSendAt > acknowledgedAt + BOUND_MS).toBe(false);
      }),
      { numRuns: 2_000, seed: 11 },
    );
  });

  it('exceeds the time for which a disconnected gateway must serve calls', () => {
    const requiredFraction = 0.6;
    expect(keyLeaseMs(BOUND_MS)).toBeGreaterThan(requiredFraction * BOUND_MS + 600);
    expect(keyLeaseMs(undefined)).toBe(Infinity);
  });
});

/**
 * A caller without a key once named a tenant's turn or program by writing the tenant's scope in front of its id. The ids
 * of anonymous callers were not changed, so that the two sets of ids overlapped.
 */
describe('scoped ids', () => {
  /** The form of ids before anonymous ids were escaped, under which objects may be stored. */
  const formerScopedId = (tenant: string | undefined, id: string): string =>
    tenant === undefined ? id : `${tenant.length}:${tenant}:${id}`;
  const text = fc.string({ unit: fc.constantFrom('a', '0', '1', '2', ':', '/'), maxLength: 6 });
  const plainTenant = fc.option(
    text.filter((name) => name.length > 0),
    { nil: undefined },
  );
  const caller = fc.record({ tenant: plainTenant, id: text });

  it('differ whenever tenant or id differ, also if a caller writes the scoped id of another', () => {
    fc.assert(
      fc.property(caller, caller, fc.nat({ max: 3 }), (first, second, times) => {
        let { id } = second;
        // The second caller writes what the first one's id becomes, with scopes around it.
        if (times > 0) id = scopedId(first.tenant, first.id);
        for (let count = 1; count < times; count += 1) id = scopedId(undefined, id);
        const isSame = first.tenant === second.tenant && first.id === id;
        expect(scopedId(first.tenant, first.id) === scopedId(second.tenant, id)).toBe(isSame);
      }),
      { numRuns: 20_000, seed: 5 },
    );
  });

  it.each(['a', 'office', 'a:b', '1', '0:'])(
    'of tenant %s cannot be written without its key',
    (tenant) => {
      const ofTenant = scopedId(tenant, 'turn');
      expect(scopedId(undefined, ofTenant)).not.toBe(ofTenant);
      expect(scopedId(undefined, scopedId(undefined, ofTenant))).not.toBe(ofTenant);
    },
  );

  // While two software versions run side by side, and after an update, stored objects must be found again.
  it('are those of the former version for all tenants, and for anonymous ids without a scope', () => {
    fc.assert(
      fc.property(caller, ({ tenant, id }) => {
        if (tenant === undefined && /^\d+:/.test(id)) return;
        expect(scopedId(tenant, id)).toBe(formerScopedId(tenant, id));
      }),
      { numRuns: 5_000, seed: 6 },
    );
    for (const id of [
      'p',
      'e5b2907c14da6f38',
      '12:34:56',
      '08:bureau-a:t',
      '99999999999999999999:a:',
    ])
      expect(scopedId(undefined, id)).toBe(id);
  });
});
