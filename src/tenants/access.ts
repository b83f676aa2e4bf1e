/**
 * Whether a call may run, by the key that it carries. A key that was taken away must not let a call run that
 * was sent later than a bound, at gateways in touch with the directory or not; so a gateway trusts what it
 * knows of keys for less than that bound, counted on the monotonic clock from the moment at which a majority
 * of the directory stood behind it. The decision is made right before each send: what waited is decided anew.
 */
import type { Route, Tenant } from '../routes/index.js';
import type { TenantTable } from './tenant-table.js';

/** What a gateway knows of keys, and how old that is. */
export interface TenantSnapshot {
  tenants: TenantTable;
  /** Time since a majority of the directory stood behind what is known, in milliseconds. */
  ageMs: number;
  /** For how long known keys are trusted, in milliseconds. */
  leaseMs: number;
}

export type AccessDecision =
  | { kind: 'allowed'; tenant: Tenant | undefined }
  /** No tenant has the key, or none was given where one is needed. */
  | { kind: 'unknown-key' }
  /** What is known is too old to say. */
  | { kind: 'uncertain' };

/**
 * A key that is not known may be one that was added lately if knowledge is older than this, in milliseconds.
 * Several times what news take: a gateway in touch asks each 0.2 s.
 */
export const FRESH_KEYS_MAX_AGE_MS = 1_500;

/**
 * Share of the bound of revocation for which keys are trusted. Less than all of it, though the sum is safe without a
 * margin: a call that is sent later than the bound finds every lease over that began before the revocation. More
 * than the 0.6 up to which calls are owed at a gateway out of touch, by more than a renewal each 0.3 s.
 */
export const KEY_LEASE_FRACTION = 0.9;

/** @param revocationBoundMs absent where nothing bounds how long a revoked key may go on */
export function keyLeaseMs(revocationBoundMs: number | undefined): number {
  return revocationBoundMs === undefined ? Infinity : revocationBoundMs * KEY_LEASE_FRACTION;
}

const WITHOUT_TENANT: AccessDecision = { kind: 'allowed', tenant: undefined };
const UNCERTAIN: AccessDecision = { kind: 'uncertain' };
const UNKNOWN_KEY: AccessDecision = { kind: 'unknown-key' };

/** @param key as the caller sent it; absent when none came */
export function decideAccess(
  route: Pick<Route, 'isAnonymous'>,
  key: string | undefined,
  { tenants, ageMs, leaseMs }: TenantSnapshot,
): AccessDecision {
  if (!tenants.requiresKeys) return WITHOUT_TENANT;
  const tenant = key === undefined ? undefined : tenants.findByKey(key);
  if (tenant) return ageMs < leaseMs ? { kind: 'allowed', tenant } : UNCERTAIN;
  if (route.isAnonymous) return WITHOUT_TENANT;
  return ageMs > Math.min(FRESH_KEYS_MAX_AGE_MS, leaseMs) ? UNCERTAIN : UNKNOWN_KEY;
}
