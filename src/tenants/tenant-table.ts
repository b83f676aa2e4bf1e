/** The tenants of one configuration, indexed by the hashes of their keys. */
import { sha256Hex } from '../common/index.js';
import type { Tenant } from '../routes/index.js';

export class TenantTable {
  private readonly byKeyHash = new Map<string, Tenant>();

  /** @param tenants undefined if calls need no key; empty if no key is valid */
  constructor(private readonly tenants: readonly Tenant[] | undefined) {
    for (const tenant of tenants ?? []) {
      for (const hash of tenant.keyHashes) this.byKeyHash.set(hash, tenant);
    }
  }

  /** Whether calls need a key, except on anonymous routes. */
  get requiresKeys(): boolean {
    return this.tenants !== undefined;
  }

  /** Looks up the hash of the key, so that the lookup time reveals nothing about the key. */
  findByKey(key: string): Tenant | undefined {
    return this.byKeyHash.get(sha256Hex(key));
  }
}
