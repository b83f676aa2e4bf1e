/** Authenticates requests by their API key. */
import type { IncomingMessage } from 'node:http';
import { sha256Hex } from '../common/index.js';
import { type HttpProblem, unknownOutcomeProblem } from '../http/index.js';
import { outcomePendingProblem } from './call-problem.js';
import type { IntentDocument, TenantIntent } from '../intents/index.js';

const BEARER_PREFIX = 'Bearer ';
/** Retry delay suggested while a gateway that has just started has no configuration yet. */
const RETRY_AFTER_MS = 200;

export class TenantAuthentication {
  private byKeyHash = new Map<string, TenantIntent>();
  private byId = new Map<string, TenantIntent>();

  /** @param isCurrent whether the gateway holds a lease and has a configuration */
  constructor(private readonly isCurrent: () => boolean) {}

  /** Replaces the tenants by those of a new configuration. */
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
    const key = header.startsWith(BEARER_PREFIX) ? header.slice(BEARER_PREFIX.length) : '';
    const tenant = this.byKeyHash.get(sha256Hex(key));
    if (!tenant) throw this.unknownKey();
    return tenant;
  }

  /**
   * The outcome is reported as unknown: another gateway may have accepted a copy of the request under
   * another revision of the configuration.
   */
  private unknownKey(): HttpProblem {
    if (this.isCurrent()) return unknownOutcomeProblem('unknown API key', 'unauthorized', 401);
    return outcomePendingProblem(RETRY_AFTER_MS, 'this gateway has no current configuration');
  }

  weightOf(tenant: string): number {
    return this.byId.get(tenant)?.weight ?? 1;
  }
}
