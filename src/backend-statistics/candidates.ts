/**
 * Candidates of a call in the scheduling mode `coordinated`. Gateways share load figures that are up to a long poll
 * old. A comparison of all backends would send the calls of all gateways to the same backend until the next figures.
 */

/** State of a backend that the selection depends on. */
export interface CandidateState {
  readonly id: string;
  readonly isSuspect: boolean;
  readonly isFailing: boolean;
  readonly sharedSlowdown: number;
  /** Calls in flight from this gateway, which are known without delay. */
  readonly inFlight: number;
  /** Mean calls in flight from other gateways over the last reports. */
  readonly meanOtherInFlight: number;
  readonly record: { readonly slots: number };
}

/** Random numbers in [0, 1). */
export type Random = () => number;

/** Backends that are drawn in addition to the shortlist of a model call. */
const DRAWN_FOR_MODEL_CALL = 5;
/** Backends that are drawn for a plain call. */
const DRAWN_FOR_PLAIN_CALL = 2;
/** Probability with which a call is sent to a failing backend. */
const PROBE_PROBABILITY = 1 / 50;
/** Preference of the backend with affinity over one with equal load. */
const AFFINITY_WEIGHT = 4;

/** The backend to probe with this call, if it is to be a probe. */
export function drawProbe<State extends CandidateState>(
  usable: readonly State[],
  random: Random,
): State | undefined {
  const failing = usable.filter(({ isFailing }) => isFailing);
  if (failing.length === 0 || random() >= PROBE_PROBABILITY) return undefined;
  return draw(failing, 1, random)[0];
}

/**
 * Candidates of a first turn besides its shortlist; the cheapest of both is selected. Later turns get none: they would
 * move to ever other engines, which prefill the prompt again and lose capacity that all calls lack under overload.
 */
export function drawForFirstTurn<State extends CandidateState>(
  usable: readonly State[],
  random: Random,
): State[] {
  return draw(usable.filter(isHealthy), DRAWN_FOR_MODEL_CALL, random);
}

/**
 * Selects the backend of a plain call among two that are drawn and the one with affinity. Plain calls are shorter than
 * the age of load figures: a backend with less load is preferred only in proportion, since gateways that all prefer it
 * outright fill its queue before the next figures.
 */
export function selectForPlainCall<State extends CandidateState>(
  usable: readonly State[],
  affine: State | undefined,
  random: Random,
): State | undefined {
  const candidates = new Map<State, number>();
  for (const state of draw(usable.filter(isHealthy), DRAWN_FOR_PLAIN_CALL, random)) {
    candidates.set(state, preference(state));
  }
  if (affine && isHealthy(affine)) candidates.set(affine, preference(affine) * AFFINITY_WEIGHT);
  return drawWeighted(candidates, random);
}

/** Inverse of the time to process the present calls, in relation to an idle backend. */
function preference({
  sharedSlowdown,
  inFlight,
  meanOtherInFlight,
  record,
}: CandidateState): number {
  // Calls of this gateway count once more for each slot: they are few, and unlike those of others they are current.
  const load = inFlight * record.slots + meanOtherInFlight;
  return record.slots / (sharedSlowdown * (record.slots + load));
}

function isHealthy({ isSuspect, isFailing }: CandidateState): boolean {
  return !isSuspect && !isFailing;
}

/** Draws up to `count` different items. */
function draw<Item>(items: readonly Item[], count: number, random: Random): Item[] {
  const remaining = [...items];
  const drawn: Item[] = [];
  while (drawn.length < count && remaining.length > 0) {
    const position = Math.floor(random() * remaining.length);
    drawn.push(remaining[position]!);
    remaining[position] = remaining.at(-1)!;
    remaining.pop();
  }
  return drawn;
}

function drawWeighted<Item>(weights: ReadonlyMap<Item, number>, random: Random): Item | undefined {
  let remaining = random() * [...weights.values()].reduce((sum, weight) => sum + weight, 0);
  let last: Item | undefined;
  for (const [item, weight] of weights) {
    last = item;
    remaining -= weight;
    if (remaining < 0) break;
  }
  return last;
}
