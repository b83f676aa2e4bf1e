/** Who may call, and for how long a gateway trusts what it knows of keys. */
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { sha256Hex } from '../common/index.js';
import { FRESH_KEYS_MAX_AGE_MS, decideAccess, keyLeaseMs } from './access.js';
import { scopedId } from './scoped-id.js';
import { TenantTable } from './tenant-table.js';

const LEASE_MS = 4_500;
const OFFICE = { name: 'office', keyHashes: [sha256Hex('k1')], ratePerSecond: 0, burst: 0 };
const tenants = new TenantTable([OFFICE, { ...OFFICE, name: 'keyless', keyHashes: [] }]);
const keyed = { isAnonymous: false };
const open = { isAnonymous: true };

function decide(route: typeof keyed, key: string | undefined, ageMs: number): string {
  return decideAccess(route, key, { tenants, ageMs, leaseMs: LEASE_MS }).kind;
}

describe('a call with a key', () => {
  it('belongs to the tenant of its key', () => {
    const decision = decideAccess(keyed, 'k1', { tenants, ageMs: 0, leaseMs: LEASE_MS });
    expect(decision).toEqual({ kind: 'allowed', tenant: OFFICE });
  });

  it.each([
    ['known, within the lease', keyed, 'k1', LEASE_MS - 1, 'allowed'],
    ['known, as the lease ends', keyed, 'k1', LEASE_MS, 'uncertain'],
    ['known, before any leader answered', keyed, 'k1', Infinity, 'uncertain'],
    ['unknown, with fresh knowledge', keyed, 'k2', 0, 'unknown-key'],
    ['unknown, where it may be new', keyed, 'k2', FRESH_KEYS_MAX_AGE_MS + 1, 'uncertain'],
    ['none', keyed, undefined, 0, 'unknown-key'],
    ['none, where the route may be open to all by now', keyed, undefined, 9_000, 'uncertain'],
    ['empty', keyed, '', 0, 'unknown-key'],
    ['none, on a route for everybody', open, undefined, 9_000, 'allowed'],
    ['unknown, on a route for everybody', open, 'k2', 0, 'allowed'],
    ['known, on a route for everybody, past the lease', open, 'k1', LEASE_MS, 'uncertain'],
  ])('%s', (_, route, key, ageMs, expected) => {
    expect(decide(route, key, ageMs)).toBe(expected);
  });

  it('is needed by nobody where no tenants are declared, and good for nobody where none is left', () => {
    const knowledge = { ageMs: Infinity, leaseMs: LEASE_MS };
    const none = new TenantTable(undefined);
    const empty = new TenantTable([]);
    expect(decideAccess(keyed, undefined, { ...knowledge, tenants: none }).kind).toBe('allowed');
    expect(decideAccess(keyed, 'k1', { tenants: empty, ageMs: 0, leaseMs: 1 }).kind).toBe(
      'unknown-key',
    );
  });
});

/**
 * A leader stands still or is cut off, another one takes a key away, and a gateway hears only the old one: then
 * freezes, wakes, and sends what has waited. Times are drawn; the acknowledgement of the revocation comes after a
 * majority has left the old leader.
 */
describe('the lease of keys', () => {
  const BOUND_MS = 5_000;
  const step = fc.integer({ min: 0, max: 8_000 });

  it('lets no call run that was sent later than the bound after the revocation', () => {
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
        // The old leader can say no more of its majority than that it stood behind it until it left.
        const confirmedAgeMs = Math.max(0, leaderAnswersAt - drawn.quorumLeft);
        const certainAt = drawn.asked - confirmedAgeMs;
        const decidedAt = leaderAnswersAt + drawn.decidedAfter;
        const ageMs = decidedAt - certainAt;
        const knowledge = { tenants, ageMs, leaseMs: keyLeaseMs(BOUND_MS) };
        const isAllowed = decideAccess(keyed, 'k1', knowledge).kind === 'allowed';
        const latestSendAt = decidedAt;
        expect(isAllowed && latestSendAt > acknowledgedAt + BOUND_MS).toBe(false);
      }),
      { numRuns: 2_000, seed: 11 },
    );
  });

  it('outlasts the time for which calls are owed at a gateway out of touch', () => {
    const owedShare = 0.6;
    expect(keyLeaseMs(BOUND_MS)).toBeGreaterThan(owedShare * BOUND_MS + 600);
    expect(keyLeaseMs(undefined)).toBe(Infinity);
  });
});

describe('ids of tenants', () => {
  it('differ wherever tenant or id differ', () => {
    const name = fc.string({ unit: fc.constantFrom('a', '1', ':', '/'), maxLength: 4 });
    fc.assert(
      fc.property(name, name, name, name, (tenant, id, otherTenant, otherId) => {
        const isSame = tenant === otherTenant && id === otherId;
        expect(scopedId(tenant, id) === scopedId(otherTenant, otherId)).toBe(isSame);
      }),
      { seed: 5 },
    );
    expect(scopedId(undefined, 'p')).toBe('p');
  });
});
