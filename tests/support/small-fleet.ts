/** A small fleet of real processes behind the fault proxy, for one test file. */
import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { ProgramClient } from '../../src/client/index.js';
import { Fleet, type FleetOptions } from '../../lab/fleet/fleet.js';
import type { Deployment } from '../../lab/fleet/topology.js';

export const SMALL_DEPLOYMENT: Deployment = {
  name: 'pipeline',
  zones: ['zone-a', 'zone-b'],
  controlZones: ['zone-a', 'zone-b', 'zone-a'],
  engines: { name: 'engine', count: 2 },
  services: { name: 'service', count: 1 },
  serviceNames: ['build-status', 'post-status'],
  model: 'model',
  tenants: ['health', 'finance'],
  zoneDelayMs: 0,
  clientDelayMs: 0,
};

const TIME_SCALE = 0.05;

export interface SmallFleet {
  fleet: Fleet;
  clientOf(tenant: string, gateways?: string[]): ProgramClient;
  down(): Promise<void>;
}

export async function startSmallFleet(options: Partial<FleetOptions> = {}): Promise<SmallFleet> {
  const workFolder = mkdtempSync(join(tmpdir(), 'ledgegauge-fleet-'));
  const fleet = await Fleet.up({
    deployment: SMALL_DEPLOYMENT,
    workFolder,
    timeScale: TIME_SCALE,
    journalGroups: 2,
    seed: 1,
    ...options,
  });
  const clients: ProgramClient[] = [];
  return {
    fleet,
    clientOf(tenant, gateways = fleet.plan.clientGateways) {
      const client = new ProgramClient({ gateways, apiKey: fleet.plan.tenantKeys[tenant]! });
      clients.push(client);
      return client;
    },
    async down() {
      await Promise.all(clients.map((client) => client.close()));
      await fleet.down();
      rmSync(workFolder, { recursive: true, force: true });
    },
  };
}
