/** Calls under way at back ends, as a gateway is told of those of the others. */
import type { BackendLoad } from './messages.js';
import { packJson, unpackJson } from './packed-json.js';

/** What a gateway gets: the sums are the same for all, so that they are packed once and not for each. */
export interface LoadTotals {
  /** Packed `LoadSums` of all gateways. */
  sums: Uint8Array;
  /** The asker's part of them. */
  own: readonly BackendLoad[];
}

/** Back ends and their calls, each at the same place. */
interface LoadSums {
  ids: string[];
  inFlight: number[];
}

export function packSums(sums: ReadonlyMap<string, number>): Uint8Array {
  const loads: LoadSums = { ids: [...sums.keys()], inFlight: [...sums.values()] };
  return packJson(loads);
}

/** Calls of the other gateways; back ends without any are left out. */
export function loadsOfOtherGateways({ sums, own }: LoadTotals): BackendLoad[] {
  const ownCalls = new Map<string, number>();
  for (const { id, inFlight } of own) ownCalls.set(id, (ownCalls.get(id) ?? 0) + inFlight);
  const { ids, inFlight } = unpackJson<LoadSums>(sums);
  return ids
    .map((id, place) => ({ id, inFlight: inFlight[place]! - (ownCalls.get(id) ?? 0) }))
    .filter((load) => load.inFlight > 0);
}
