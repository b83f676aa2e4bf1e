/** Chooses the back end of a call: where its prompt is cached, unless waiting costs more. */
import { hash32 } from '../common/index.js';
import type { BackendState } from './backend-view.js';
import type { CallDescription } from './call-exchange.js';

export interface PlacementOptions {
  /** The zone of this gateway. */
  zone: string;
  /** Prompt tokens that an engine reads in a millisecond. */
  prefillTokensPerMs: number;
}

/** Cost of each call above the slots of a back end, in milliseconds. */
const QUEUE_MS_PER_CALL = 30;
/** Cost of sharing an engine's batch with one more call, in milliseconds. */
const BATCH_MS_PER_CALL = 1;
/** Cost of a call in another zone, in milliseconds. */
const CROSS_ZONE_MS = 3;
/** Added for a back end that failed lately or is silent, in milliseconds. */
const SUSPECT_MS = 10_000;
/** Gain of the back end that saw the object of a call last, in milliseconds. */
const AFFINITY_MS = 8;
/** Cost of each call that runs beside on a plain service, in milliseconds. */
const SERVICE_MS_PER_CALL = 5;

export class Placement {
  constructor(private readonly options: PlacementOptions) {}

  /** @returns the cheapest back end that has room, if any */
  choose(
    candidates: readonly BackendState[],
    call: CallDescription,
    excluded: ReadonlySet<string>,
  ): BackendState | undefined {
    const key = call.program && call.promptParts.length > 0 ? call.program.id : call.affinityKey;
    const home = key === undefined ? undefined : homeOf(key, candidates);
    let best: BackendState | undefined;
    let bestCost = Number.POSITIVE_INFINITY;
    for (const candidate of candidates) {
      if (excluded.has(candidate.id) || !candidate.connections.hasRoom) continue;
      const cost = this.cost(candidate, call, candidate === home) + Math.random();
      if (cost >= bestCost) continue;
      best = candidate;
      bestCost = cost;
    }
    return best;
  }

  private cost(backend: BackendState, call: CallDescription, isHome: boolean): number {
    const { slots, zone } = backend.record;
    const load = backend.load;
    const queueMs = Math.max(0, load + 1 - slots) * QUEUE_MS_PER_CALL;
    const zoneMs = zone === this.options.zone ? 0 : CROSS_ZONE_MS;
    const suspectMs = backend.isSuspect ? SUSPECT_MS : 0;
    const isModelCall = call.promptParts.length > 0;
    const workMs = isModelCall
      ? this.prefillMs(backend, call, isHome) + load * BATCH_MS_PER_CALL
      : load * SERVICE_MS_PER_CALL - (isHome ? AFFINITY_MS : 0);
    return queueMs + zoneMs + suspectMs + workMs;
  }

  /** Gateways agree on a program's home, so one that never sent there may count on its cache. */
  private prefillMs(backend: BackendState, call: CallDescription, isHome: boolean): number {
    const own = call.promptParts.at(-1)?.tokens ?? 0;
    const missing = isHome ? own : backend.missingTokens(call.promptParts);
    return missing / this.options.prefillTokensPerMs;
  }
}

/** The back end that rendezvous hashing gives a key. */
function homeOf(key: string, candidates: readonly BackendState[]): BackendState | undefined {
  let home: BackendState | undefined;
  let highest = -1;
  for (const candidate of candidates) {
    if (candidate.isSuspect) continue;
    const weight = hash32(`${key}|${candidate.id}`);
    if (weight <= highest) continue;
    home = candidate;
    highest = weight;
  }
  return home;
}
