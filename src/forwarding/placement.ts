/** Chooses the back end of a call: where its prompt is cached, unless waiting costs more. */
import { rankForKey } from '../common/index.js';
import type { BackendState } from './backend-view.js';
import { type CallDescription, isFirstTurn } from './call-exchange.js';

export interface PlacementOptions {
  /** The zone of this gateway. */
  zone: string;
  /** Numbers from 0 (included) to 1 (excluded), for what is drawn. @default Math.random */
  random?: () => number;
}

/** Share of a prompt's reading time that counts for each call that runs beside and is held up. */
const READING_STALL_SHARE = 0.5;
/** Share of a call's time by which a back end with all places taken is dearer than an idle one. */
const SPREAD_SHARE = 0.1;
/** Cost of a service call in another zone, in milliseconds. */
const CROSS_ZONE_MS = 3;
/** Cost of a model call in another zone, in milliseconds: its prompt is long. */
const MODEL_CROSS_ZONE_MS = 12;
/** Added for a back end that failed lately or is silent, in milliseconds. */
const SUSPECT_MS = 10_000;
/** Gain of the back end that saw the object of a plain call last, as a share of a call's time. */
const AFFINITY_SHARE = 0.15;
/** Back ends of this zone that a program is likely to be sent to, whichever gateway it comes through. */
const LIKELY_HOMES = 2;
/** Share of a zone's engines that programs with the same beginning of their prompts meet on. */
const BEGINNING_SHARE = 0.67;
/** How likely such a back end holds what this gateway never sent there. */
const HOME_HIT_SHARE = 0.5;

/** One call to be placed. */
export interface PlacementRequest {
  call: CallDescription;
  /** Ids of back ends that are out of the question. */
  excluded: ReadonlySet<string>;
  /** Id of the back end that most likely holds the prompt of the turns before. */
  promptHolder?: string;
}

/** A back end for a call. */
export interface PlacementDecision {
  backend: BackendState;
  /** Prompt tokens that it most likely has to read. */
  missingTokens: number;
}

/** What the cost of a back end follows from. */
interface CostInput {
  call: CallDescription;
  homes: readonly BackendState[];
  promptHolder?: string;
}

export class Placement {
  private readonly random: () => number;

  constructor(private readonly options: PlacementOptions) {
    this.random = options.random ?? Math.random;
  }

  /** @returns the cheapest back end that has room, if any */
  choose(
    candidates: readonly BackendState[],
    { call, excluded, promptHolder }: PlacementRequest,
  ): PlacementDecision | undefined {
    const usable = candidates.filter(
      (candidate) => !excluded.has(candidate.id) && candidate.connections.hasRoom,
    );
    const homes = likelyHomes(call, usable, this.options.zone);
    const input = { call, homes, promptHolder };
    const isModelCall = call.promptParts.length > 0;
    const shortlist = isModelCall ? shortlistOf(usable, input, this.random) : usable;
    const backend = this.cheapest(shortlist, input) ?? this.cheapest(usable, input);
    return backend && { backend, missingTokens: missingTokensAt(backend, input) };
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

  /** Time of the call there with the time it takes from the calls beside, in milliseconds. */
  private cost(backend: BackendState, input: CostInput): number {
    const isModelCall = input.call.promptParts.length > 0;
    const workMs = workMsAt(backend, missingTokensAt(backend, input)) + queueMsAt(backend);
    const suspectMs = backend.isSuspect ? SUSPECT_MS : 0;
    const crossZoneMs = isModelCall ? MODEL_CROSS_ZONE_MS : CROSS_ZONE_MS;
    const zoneMs = backend.record.zone === this.options.zone ? 0 : crossZoneMs;
    const isHome = !isModelCall && input.homes[0] === backend;
    const affinityMs = isHome ? AFFINITY_SHARE * backend.model.typicalMs : 0;
    return workMs + zoneMs + suspectMs - affinityMs;
  }
}

/** Time of the call itself, and what it holds up. */
function workMsAt({ load, model, slowdown }: BackendState, missingTokens: number): number {
  const ordinaryMs = model.predictMs({ missingTokens, load, events: model.typicalEvents });
  const ownMs = ordinaryMs * slowdown.factor;
  const readingMs = model.msPerToken * missingTokens;
  return ownMs + load * readingMs * READING_STALL_SHARE;
}

/** Wait for a place; the load is known a moment late only, so that nearly full costs as well. */
function queueMsAt({ load, model, capacity }: BackendState): number {
  const waiting = Math.max(0, load + 1 - capacity);
  return (model.typicalMs * (waiting + SPREAD_SHARE * load)) / capacity;
}

/** Tokens of the prompt that a back end most likely has to read. */
function missingTokensAt(backend: BackendState, { call, homes, promptHolder }: CostInput): number {
  const own = call.promptParts.at(-1)?.tokens ?? 0;
  const missing = backend.missingTokens(call.promptParts);
  if (backend.id === promptHolder) return Math.min(own, missing);
  const isGuess = promptHolder === undefined && !isFirstTurn(call);
  if (!isGuess || !homes.includes(backend)) return missing;
  return own + (missing - own) * (1 - HOME_HIT_SHARE);
}

/**
 * Few candidates for a model call: its likely homes, the back ends that are known to hold most of
 * its prompt, and one drawn at random. Gateways share load figures that are a moment old; if each of
 * them took the lowest of all, they would all take the same.
 */
function shortlistOf(
  candidates: readonly BackendState[],
  { call, homes, promptHolder }: CostInput,
  random: () => number,
): BackendState[] {
  const shortlist = new Set(homes);
  const holder = !isFirstTurn(call) && bestHolder(call, candidates);
  if (holder) shortlist.add(holder);
  const told = candidates.find(({ id }) => id === promptHolder);
  if (told) shortlist.add(told);
  const drawn = candidates[Math.floor(random() * candidates.length)];
  if (drawn) shortlist.add(drawn);
  return [...shortlist].filter((candidate) => !candidate.isSuspect);
}

function bestHolder(
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
 * Back ends that a call most likely belongs to: for a plain call the one that rendezvous hashing gives
 * its object; for a model call some of this zone, and one of all.
 */
function likelyHomes(
  call: CallDescription,
  candidates: readonly BackendState[],
  zone: string,
): BackendState[] {
  const sound = candidates.filter((candidate) => !candidate.isSuspect);
  if (call.promptParts.length === 0) {
    if (call.affinityKey === undefined) return [];
    return rankForKey(call.affinityKey, sound, idOf).slice(0, 1);
  }
  const near = sound.filter((candidate) => candidate.record.zone === zone);
  return [...new Set([...homesAmong(near, call, LIKELY_HOMES), ...homesAmong(sound, call, 1)])];
}

/**
 * Programs whose prompts begin alike meet on a part of the engines, so that each engine keeps fewer
 * beginnings; each program is given a few of that part, so that they do not all take the same one.
 */
function homesAmong(
  engines: readonly BackendState[],
  call: CallDescription,
  count: number,
): BackendState[] {
  const beginning = call.promptParts[0]!.id;
  const shared = Math.max(LIKELY_HOMES, Math.round(engines.length * BEGINNING_SHARE));
  const holders = rankForKey(beginning, engines, idOf).slice(0, shared);
  return rankForKey(call.program?.id ?? beginning, holders, idOf).slice(0, count);
}

function idOf(backend: BackendState): string {
  return backend.id;
}
