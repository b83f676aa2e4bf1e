/**
 * Authorization of calls by API key. A revoked key must not authorize calls that are sent later than a bound after the
 * revocation, even at gateways that are disconnected from the directory. A gateway therefore trusts its snapshot of
 * the keys for less than this bound, measured on the monotonic clock from the time at which a majority of the directory
 * confirmed it. The check is made immediately before each send, so that delayed calls are checked again.
 */
import type { Route, Tenant } from '../routes/index.js';
import type { TenantTable } from './tenant-table.js';

/** A gateway's snapshot of the tenants, with its age. */
export interface TenantSnapshot {
  tenants: TenantTable;
  /** Time since a majority of the directory confirmed the snapshot, in milliseconds. */
  ageMs: number;
  /** Age up to which known keys are trusted, in milliseconds. */
  leaseMs: number;
}

export type AccessDecision =
  | { kind: 'allowed'; tenant: Tenant | undefined }
  /** No tenant has the key, or a required key is missing. */
  | { kind: 'unknown-key' }
  /** The snapshot is too old to decide. */
  | { kind: 'uncertain' };

/**
 * Maximum age of a snapshot by which an unknown key is rejected, in milliseconds; with an older one, the key may have
 * been added in the meantime. Several times the update interval of connected gateways.
 */
export const FRESH_KEYS_MAX_AGE_MS = 1_500;

/**
 * Fraction of the revocation bound for which keys are trusted. The lease is safe without a margin, since every lease
 * that began before the revocation has expired when the bound is over. It must exceed by more than a renewal interval
 * the fraction of 0.6 for which a disconnected gateway is required to serve calls.
 */
export const KEY_LEASE_FRACTION = 0.9;

/** @param revocationBoundMs undefined if the use of revoked keys is not bounded */
export function keyLeaseMs(revocationBoundMs: number | undefined): number {
  return revocationBoundMs === undefined ? Infinity : revocationBoundMs * KEY_LEASE_FRACTION;
}

const ALLOWED_ANONYMOUSLY: AccessDecision = { kind: 'allowed', tenant: undefined };
const UNCERTAIN: AccessDecision = { kind: 'uncertain' };
const UNKNOWN_KEY: AccessDecision = { kind: 'unknown-key' };

/** @param key as sent by the caller, if any */
export function decideAccess(
  route: Pick<Route, 'isAnonymous'>,
  key: string | undefined,
  { tenants, ageMs, leaseMs }: TenantSnapshot,
): AccessDecision {
  if (!tenants.requiresKeys) return ALLOWED_ANONYMOUSLY;
  const tenant = key === undefined ? undefined : tenants.findByKey(key);
  if (tenant) return ageMs < leaseMs ? { kind: 'allowed', tenant } : UNCERTAIN;
  if (route.isAnonymous) return ALLOWED_ANONYMOUSLY;
  return ageMs > Math.min(FRESH_KEYS_MAX_AGE_MS, leaseMs) ? UNCERTAIN : UNKNOWN_KEY;
}
