/** Checks that engines release the memory of programs whose end was confirmed. */
import { request } from 'undici';
import { sleep } from '../../src/common/index.js';
import type { FleetProcess } from '../fleet/fleet-process.js';
import type { Fleet } from '../fleet/fleet.js';
import type { MemoryObservation } from './history.js';

/** Time within which an engine must have released the memory of ended programs. */
const RELEASE_TIMEOUT_MS = 10_000;
const POLL_INTERVAL_MS = 200;

interface EnginePrograms {
  held: string[];
  active: string[];
}

/** Polls each engine until it holds nothing for ended programs, or until the timeout. */
export function observeEngineMemory(
  fleet: Fleet,
  endedPrograms: ReadonlySet<string>,
): Promise<MemoryObservation[]> {
  return Promise.all(fleet.ofKind('engine').map((engine) => observeEngine(engine, endedPrograms)));
}

async function observeEngine(
  engine: FleetProcess,
  endedPrograms: ReadonlySet<string>,
): Promise<MemoryObservation> {
  const deadline = Date.now() + RELEASE_TIMEOUT_MS;
  let remaining: string[];
  do {
    const response = await request(`http://${engine.plan.address}/v1/programs`);
    const { held, active } = (await response.body.json()) as EnginePrograms;
    remaining = [...held, ...active].filter((program) => endedPrograms.has(program));
    if (remaining.length > 0) await sleep(POLL_INTERVAL_MS);
  } while (remaining.length > 0 && Date.now() < deadline);
  return { engine: engine.name, endedPrograms: endedPrograms.size, remaining };
}
