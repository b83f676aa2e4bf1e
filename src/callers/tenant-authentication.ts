/** Finds the tenant of a request by its API key. */
import type { IncomingMessage } from 'node:http';
import { sha256Hex } from '../common/index.js';
import { badRequest } from '../http/index.js';
import type { IntentDocument, TenantIntent } from '../intents/index.js';

const BEARER = 'Bearer ';

export class TenantAuthentication {
  private byKeyHash = new Map<string, TenantIntent>();
  private byId = new Map<string, TenantIntent>();

  /** Takes over the tenants of a new configuration. */
  update(document: IntentDocument): void {
    this.byId = new Map(document.tenants.map((tenant) => [tenant.id, tenant]));
    this.byKeyHash = new Map(
      document.tenants.flatMap((tenant) =>
        tenant.keyHashes.map((hash): [string, TenantIntent] => [hash, tenant]),
      ),
    );
  }

  /** @throws HttpProblem when the key belongs to no tenant */
  authenticate(request: IncomingMessage): TenantIntent {
    const header = request.headers.authorization ?? '';
    const key = header.startsWith(BEARER) ? header.slice(BEARER.length) : '';
    const tenant = this.byKeyHash.get(sha256Hex(key));
    if (!tenant) throw badRequest('unknown API key', 'unauthorized', 401);
    return tenant;
  }

  weightOf(tenant: string): number {
    return this.byId.get(tenant)?.weight ?? 1;
  }
}
