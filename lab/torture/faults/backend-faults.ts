/** Back ends that answer badly or not at all. */
import { request } from 'undici';
import { sleep } from '../../../src/common/index.js';
import type { FleetProcess } from '../../fleet/fleet-process.js';
import type { Fault, FaultContext } from '../fault.js';
import { pickProcess } from './process-faults.js';

const AWAY_MS = [1_000, 2_500] as const;
const MAX_AFFECTED_ANSWERS = 6;

async function misbehave(
  backend: FleetProcess,
  mode: string,
  { random }: FaultContext,
): Promise<void> {
  await setMode(backend, mode, random.integer(1, MAX_AFFECTED_ANSWERS));
  await sleep(random.integer(...AWAY_MS));
  await setMode(backend, 'none', 0);
}

/** @param count how many answers are affected */
async function setMode(backend: FleetProcess, mode: string, count: number): Promise<void> {
  const response = await request(`http://${backend.plan.address}/v1/faults`, {
    method: 'POST',
    headers: { 'content-type': 'application/json' },
    body: JSON.stringify({ mode, count }),
  });
  await response.body.dump();
}

function misbehaviour(name: string, kind: 'engine' | 'service', mode: string): Fault {
  return {
    name,
    family: 'backend',
    async run(context) {
      const backend = pickProcess(context, kind);
      // Another fault may have ended the process; then there is nobody to misbehave.
      await misbehave(backend, mode, context).catch(() => undefined);
    },
  };
}

export const BACKEND_FAULTS: readonly Fault[] = [
  misbehaviour('engine-rubbish', 'engine', 'rubbish'),
  misbehaviour('engine-half-event', 'engine', 'half-event'),
  misbehaviour('engine-nothing', 'engine', 'nothing'),
  misbehaviour('engine-stream-cut', 'engine', 'cut'),
  misbehaviour('service-hang', 'service', 'hang'),
  misbehaviour('service-error', 'service', 'error'),
];
