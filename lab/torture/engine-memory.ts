/** Looks at what engines hold and run for programs whose end the callers had confirmed. */
import { request } from 'undici';
import { sleep } from '../../src/common/index.js';
import type { FleetProcess } from '../fleet/fleet-process.js';
import type { Fleet } from '../fleet/fleet.js';
import type { MemoryObservation } from './history.js';

/** Time after an engine's return in which it must hold nothing for ended programs. */
const LIMIT_MS = 10_000;
const POLL_MS = 200;

interface EnginePrograms {
  held: string[];
  active: string[];
}

/** One observation an engine, made as soon as it holds nothing, or at the limit. */
export function observeEngineMemory(
  fleet: Fleet,
  ended: ReadonlySet<string>,
): Promise<MemoryObservation[]> {
  return Promise.all(fleet.ofKind('engine').map((engine) => observeEngine(engine, ended)));
}

async function observeEngine(
  engine: FleetProcess,
  ended: ReadonlySet<string>,
): Promise<MemoryObservation> {
  const deadline = Date.now() + LIMIT_MS;
  let remaining: string[];
  do {
    const response = await request(`http://${engine.plan.address}/v1/programs`);
    const { held, active } = (await response.body.json()) as EnginePrograms;
    remaining = [...held, ...active].filter((program) => ended.has(program));
    if (remaining.length > 0) await sleep(POLL_MS);
  } while (remaining.length > 0 && Date.now() < deadline);
  return { engine: engine.name, endedPrograms: ended.size, remaining };
}
