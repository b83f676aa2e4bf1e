/** Selects the backend of a call by estimated cost: cached prompt tokens against queueing. */
import {
  type BackendStatistics,
  drawForFirstTurn,
  drawProbe,
  drawUnseenCalls,
  meanUnseenCalls,
  selectForPlainCall,
} from '../backend-statistics/index.js';
import { rankForKey } from '../common/index.js';
import type { BackendState } from './backend-view.js';
import { type CallDescription, isFirstTurn } from './call-exchange.js';

export interface PlacementOptions {
  /** The zone of this gateway. */
  zone: string;
  /** Random numbers in [0, 1). @default Math.random */
  random?: () => number;
  /** Selects the candidates of the scheduling mode `coordinated` while it is active. */
  statistics?: Pick<BackendStatistics, 'isActive' | 'noteProbe'>;
}

/** Fraction of the prefill time that is charged for each concurrent call, which it delays. */
const PREFILL_DELAY_FRACTION = 0.5;
/** Additional cost of a fully utilized backend, as a fraction of a call's latency. */
const UTILIZATION_COST_FRACTION = 0.1;
/** Additional cost of a service call to another zone, in milliseconds. */
const CROSS_ZONE_COST_MS = 3;
/** Additional cost of a model call, with its long prompt, to another zone, in milliseconds. */
const MODEL_CROSS_ZONE_COST_MS = 12;
/** Additional cost of a suspect backend, in milliseconds. */
const SUSPECT_COST_MS = 10_000;
/** Bonus of the backend with affinity to the object of a service call, as a fraction of a call's latency. */
const AFFINITY_BONUS_FRACTION = 0.15;
/** Number of preferred backends in this zone per program; equal at all gateways of the zone. */
const PREFERRED_BACKENDS = 2;
/** Fraction of the engines over which programs with the same prompt prefix are distributed. */
const PREFIX_ENGINE_FRACTION = 0.67;
/** Assumed probability that a preferred backend has cached a prompt sent by another gateway. */
const PREFERRED_HIT_PROBABILITY = 0.5;

export interface PlacementRequest {
  call: CallDescription;
  /** Ids of backends that must not be selected. */
  excluded: ReadonlySet<string>;
  /** Id of the backend that probably has the prompt of the previous turns cached. */
  promptHolder?: string;
  /** Whether the call may be sent to a failing backend as a probe. @default false */
  mayProbe?: boolean;
}

export interface PlacementDecision {
  backend: BackendState;
  /** Estimated uncached prompt tokens. */
  missingTokens: number;
}

/** Inputs of the cost estimate. */
interface CostInput {
  call: CallDescription;
  preferred: readonly BackendState[];
  promptHolder?: string;
  /** Mean number of calls that other gateways have sent to the cheapest backend since the load figures. @default 0 */
  unseenCalls?: number;
}

export class Placement {
  private readonly random: () => number;

  constructor(private readonly options: PlacementOptions) {
    this.random = options.random ?? Math.random;
  }

  /** @returns the cheapest backend with a free connection, if any */
  choose(
    candidates: readonly BackendState[],
    { call, excluded, promptHolder, mayProbe = false }: PlacementRequest,
  ): PlacementDecision | undefined {
    const usable = candidates.filter(
      (candidate) => !excluded.has(candidate.id) && candidate.connections.hasRoom,
    );
    const preferred = preferredBackends(call, usable, this.options.zone);
    const input = { call, preferred, promptHolder };
    const backend = this.options.statistics?.isActive
      ? this.selectCoordinated(usable, input, mayProbe)
      : this.selectIndependent(usable, input);
    return backend && { backend, missingTokens: missingTokensAt(backend, input) };
  }

  private selectIndependent(
    usable: readonly BackendState[],
    input: CostInput,
  ): BackendState | undefined {
    const isModelCall = input.call.promptParts.length > 0;
    const shortlist = isModelCall ? shortlistOf(usable, input, this.random) : usable;
    return this.cheapest(shortlist, input) ?? this.cheapest(usable, input);
  }

  private selectCoordinated(
    usable: readonly BackendState[],
    input: CostInput,
    mayProbe: boolean,
  ): BackendState | undefined {
    const probed = mayProbe ? drawProbe(usable, this.random) : undefined;
    if (probed) {
      this.options.statistics?.noteProbe();
      return probed;
    }
    if (input.call.promptParts.length === 0) {
      const selected = selectForPlainCall(usable, input.preferred[0], this.random);
      return selected ?? this.cheapest(usable, input);
    }
    return isFirstTurn(input.call)
      ? this.selectForFirstTurn(usable, input)
      : this.selectIndependent(usable, input);
  }

  /** The first turns of programs balance the load, since later turns stay with the engines that hold their prompts. */
  private selectForFirstTurn(
    usable: readonly BackendState[],
    input: CostInput,
  ): BackendState | undefined {
    const drawn = drawForFirstTurn(usable, this.random);
    const shortlist = [...new Set([...shortlistOf(usable, input, this.random), ...drawn])];
    const typicalMs = shortlist[0]?.model.typicalMs ?? Infinity;
    const unseenCalls = meanUnseenCalls(usable, shortlist.length, typicalMs);
    return this.cheapest(shortlist, { ...input, unseenCalls }) ?? this.cheapest(usable, input);
  }

  private cheapest(
    candidates: readonly BackendState[],
    input: CostInput,
  ): BackendState | undefined {
    let best: BackendState | undefined;
    let bestCost = Number.POSITIVE_INFINITY;
    for (const candidate of candidates) {
      const cost = this.cost(candidate, input) + this.random();
      if (cost >= bestCost) continue;
      best = candidate;
      bestCost = cost;
    }
    return best;
  }

  /** Estimated cost in milliseconds: latency of the call plus delay of concurrent calls. */
  private cost(backend: BackendState, input: CostInput): number {
    const isModelCall = input.call.promptParts.length > 0;
    const unseenCalls = drawUnseenCalls(input.unseenCalls ?? 0, this.random);
    const missingTokens = missingTokensAt(backend, input);
    const workMs = estimatedMsAt(backend, input.call, missingTokens, unseenCalls);
    const suspectMs = backend.isSuspect ? SUSPECT_COST_MS : 0;
    const crossZoneMs = isModelCall ? MODEL_CROSS_ZONE_COST_MS : CROSS_ZONE_COST_MS;
    const zoneMs = backend.record.zone === this.options.zone ? 0 : crossZoneMs;
    const isPreferred = !isModelCall && input.preferred[0] === backend;
    const affinityMs = isPreferred ? AFFINITY_BONUS_FRACTION * backend.model.typicalMs : 0;
    return workMs + zoneMs + suspectMs - affinityMs;
  }
}

/**
 * Estimated latency of a call with its wait at the backend, in milliseconds.
 * @param unseenCalls calls at the backend besides its known load
 */
export function estimatedMsAt(
  backend: BackendState,
  call: CallDescription,
  missingTokens: number,
  unseenCalls = 0,
): number {
  return workMsAt(backend, missingTokens) + queueMsAt(backend, call, unseenCalls);
}

/** Latency of the call plus the delay of concurrent calls by its prefill. */
function workMsAt(
  { load, model, timeFactor, sharedSlowdown }: BackendState,
  missingTokens: number,
): number {
  const normalMs = model.predictMs({ missingTokens, load, events: model.typicalEvents });
  const ownMs = normalMs * timeFactor;
  const prefillMs = model.msPerToken * missingTokens * sharedSlowdown;
  return ownMs + load * prefillMs * PREFILL_DELAY_FRACTION;
}

/** Estimated queueing time. Since load figures are slightly outdated, high utilization is charged as well. */
function queueMsAt(
  backend: BackendState,
  { promptParts, mostTokens }: CallDescription,
  unseenCalls: number,
): number {
  const { load, model, capacity, sharedSlowdown } = backend;
  const overCache = backend.callsOverCache(promptParts, mostTokens);
  const waiting = Math.max(0, load + 1 + unseenCalls - capacity, overCache);
  const typicalMs = model.typicalMs * sharedSlowdown;
  return (typicalMs * (waiting + UTILIZATION_COST_FRACTION * load)) / capacity;
}

/** Estimated uncached tokens of the prompt at a backend. */
function missingTokensAt(
  backend: BackendState,
  { call, preferred, promptHolder }: CostInput,
): number {
  const own = call.promptParts.at(-1)?.tokens ?? 0;
  const missing = backend.missingTokens(call.promptParts);
  if (backend.id === promptHolder) return Math.min(own, missing);
  const isGuess = promptHolder === undefined && !isFirstTurn(call);
  if (!isGuess || !preferred.includes(backend)) return missing;
  return own + (missing - own) * (1 - PREFERRED_HIT_PROBABILITY);
}

/**
 * Candidates for a model call: its preferred backends, the backends known to have its prompt cached, and
 * a random one. Because gateways share slightly outdated load figures, they would all select the same
 * backend if each took the least loaded one.
 */
function shortlistOf(
  candidates: readonly BackendState[],
  { call, preferred, promptHolder }: CostInput,
  random: () => number,
): BackendState[] {
  const shortlist = new Set(preferred);
  const cached = !isFirstTurn(call) && bestCached(call, candidates);
  if (cached) shortlist.add(cached);
  const knownHolder = candidates.find(({ id }) => id === promptHolder);
  if (knownHolder) shortlist.add(knownHolder);
  const randomCandidate = candidates[Math.floor(random() * candidates.length)];
  if (randomCandidate) shortlist.add(randomCandidate);
  return [...shortlist].filter((candidate) => !candidate.isSuspect);
}

function bestCached(
  call: CallDescription,
  candidates: readonly BackendState[],
): BackendState | undefined {
  let best: BackendState | undefined;
  let fewest = Number.POSITIVE_INFINITY;
  for (const candidate of candidates) {
    const missing = candidate.missingTokens(call.promptParts);
    if (missing >= fewest) continue;
    best = candidate;
    fewest = missing;
  }
  return best;
}

/**
 * Preferred backends of a call by rendezvous hashing: one for the object of a service call; several in
 * this zone plus one in any zone for a model call.
 */
function preferredBackends(
  call: CallDescription,
  candidates: readonly BackendState[],
  zone: string,
): BackendState[] {
  const healthy = candidates.filter((candidate) => !candidate.isSuspect);
  if (call.promptParts.length === 0) {
    if (call.affinityKey === undefined) return [];
    return rankForKey(call.affinityKey, healthy, idOf).slice(0, 1);
  }
  const near = healthy.filter((candidate) => candidate.record.zone === zone);
  return [
    ...new Set([
      ...preferredAmong(near, call, PREFERRED_BACKENDS),
      ...preferredAmong(healthy, call, 1),
    ]),
  ];
}

/**
 * Programs with the same prompt prefix are distributed over a part of the engines, so that each engine
 * has to cache fewer prefixes. Each program prefers a few engines of that part, which spreads the load.
 */
function preferredAmong(
  engines: readonly BackendState[],
  call: CallDescription,
  count: number,
): BackendState[] {
  const prefix = call.promptParts[0]!.id;
  const shared = Math.max(PREFERRED_BACKENDS, Math.round(engines.length * PREFIX_ENGINE_FRACTION));
  const holders = rankForKey(prefix, engines, idOf).slice(0, shared);
  return rankForKey(call.program?.id ?? prefix, holders, idOf).slice(0, count);
}

function idOf(backend: BackendState): string {
  return backend.id;
}
