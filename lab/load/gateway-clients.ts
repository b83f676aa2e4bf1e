/** Creates clients of a fleet: for each gateway, one client per tenant that prefers it. */
import { ProgramClient, type ProgramClientOptions } from '../../src/client/index.js';
import type { Fleet } from '../fleet/fleet.js';
import { rotate } from '../fleet/rotate.js';

/** The clients of all tenants that prefer one gateway. */
export type TenantClients = ReadonlyMap<string, ProgramClient>;

type ClientOptions = Omit<ProgramClientOptions, 'gateways' | 'apiKey'>;

/** Creates one set of clients per gateway, so that the load is spread over all gateways. */
export function createGatewayClients(fleet: Fleet, options: ClientOptions): TenantClients[] {
  const { clientGateways, tenantKeys } = fleet.plan;
  return clientGateways.map((_, position) => {
    const gateways = rotate(clientGateways, position);
    return new Map(
      Object.entries(tenantKeys).map(([tenant, apiKey]) => [
        tenant,
        new ProgramClient({ ...options, gateways, apiKey }),
      ]),
    );
  });
}

export async function closeClients(sets: readonly TenantClients[]): Promise<void> {
  await Promise.all(sets.flatMap((set) => [...set.values()].map((client) => client.close())));
}
