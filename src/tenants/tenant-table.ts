/** The tenants of one configuration, by the hashes of their keys. */
import { sha256Hex } from '../common/index.js';
import type { Tenant } from '../routes/index.js';

export class TenantTable {
  private readonly byKeyHash = new Map<string, Tenant>();

  /** @param tenants absent where callers need no keys; empty where nobody's keys are good */
  constructor(private readonly tenants: readonly Tenant[] | undefined) {
    for (const tenant of tenants ?? []) {
      for (const hash of tenant.keyHashes) this.byKeyHash.set(hash, tenant);
    }
  }

  /** Whether calls need a key, but on routes for everybody. */
  get requiresKeys(): boolean {
    return this.tenants !== undefined;
  }

  /** Keys are looked up by their hashes, so that the time of a look-up tells nothing of a key. */
  findByKey(key: string): Tenant | undefined {
    return this.byKeyHash.get(sha256Hex(key));
  }
}
