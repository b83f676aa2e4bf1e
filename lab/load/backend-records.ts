/** Reads the records of a load run from the backends. */
import { request } from 'undici';
import type { ArrivalRecord, ReleaseRecord } from '../../emulator/engine/engine-server.js';
import type { CacheUsage } from '../../emulator/model/prefix-cache.js';
import type { ServiceExecution } from '../../emulator/service/service-server.js';
import type { ExecutionRecord } from '../../emulator/model/engine-model.js';
import type { Fleet } from '../fleet/fleet.js';

export interface EngineRecords {
  engine: string;
  executions: ExecutionRecord[];
  releases: ReleaseRecord[];
  arrivals: ArrivalRecord[];
  cacheUsage: CacheUsage;
}

export interface ServiceRecords {
  service: string;
  executions: ServiceExecution[];
}

export interface BackendRecords {
  engines: EngineRecords[];
  services: ServiceRecords[];
}

/** Reads the records of all running backends. */
export async function readBackendRecords(fleet: Fleet): Promise<BackendRecords> {
  const engines = await Promise.all(
    fleet
      .ofKind('engine')
      .filter((engine) => engine.isRunning)
      .map(async (engine) => ({
        engine: engine.name,
        ...(await readRecords<Omit<EngineRecords, 'engine'>>(engine.plan.address)),
      })),
  );
  const services = await Promise.all(
    fleet
      .ofKind('service')
      .filter((service) => service.isRunning)
      .map(async (service) => ({
        service: service.name,
        ...(await readRecords<Omit<ServiceRecords, 'service'>>(service.plan.address)),
      })),
  );
  return { engines, services };
}

async function readRecords<T>(address: string): Promise<T> {
  const response = await request(`http://${address}/v1/records`);
  return (await response.body.json()) as T;
}
