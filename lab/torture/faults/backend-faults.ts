/** Faults of backends: invalid, incomplete or missing responses. */
import { request } from 'undici';
import { sleep } from '../../../src/common/index.js';
import type { FleetProcess } from '../../fleet/fleet-process.js';
import type { Fault, FaultContext } from '../fault.js';
import { pickProcess } from './process-faults.js';

const FAULT_DURATION_MS = [1_000, 2_500] as const;
const MAX_AFFECTED_RESPONSES = 6;

async function injectBackendFault(
  backend: FleetProcess,
  mode: string,
  { random }: FaultContext,
): Promise<void> {
  await setFaultMode(backend, mode, random.integer(1, MAX_AFFECTED_RESPONSES));
  await sleep(random.integer(...FAULT_DURATION_MS));
  await setFaultMode(backend, 'none', 0);
}

/** @param count number of responses that are affected */
async function setFaultMode(backend: FleetProcess, mode: string, count: number): Promise<void> {
  const response = await request(`http://${backend.plan.address}/v1/faults`, {
    method: 'POST',
    headers: { 'content-type': 'application/json' },
    body: JSON.stringify({ mode, count }),
  });
  await response.body.dump();
}

function backendFault(name: string, kind: 'engine' | 'service', mode: string): Fault {
  return {
    name,
    family: 'backend',
    async run(context) {
      const backend = pickProcess(context, kind);
      // Fails if another fault has stopped the process.
      await injectBackendFault(backend, mode, context).catch(() => undefined);
    },
  };
}

export const BACKEND_FAULTS: readonly Fault[] = [
  backendFault('engine-rubbish', 'engine', 'rubbish'),
  backendFault('engine-half-event', 'engine', 'half-event'),
  backendFault('engine-nothing', 'engine', 'nothing'),
  backendFault('engine-stream-cut', 'engine', 'cut'),
  backendFault('service-hang', 'service', 'hang'),
  backendFault('service-error', 'service', 'error'),
];
