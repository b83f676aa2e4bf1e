/** Calls in flight at the backends, as sent to gateways. */
import type { BackendLoad } from './messages.js';
import { packJson, unpackJson } from './packed-json.js';

/** Sums over all gateways, packed once for all of them, with the receiving gateway's own part. */
export interface LoadTotals {
  /** Packed `LoadSums` of all gateways. */
  sums: Uint8Array;
  /** The receiving gateway's part of the sums. */
  own: readonly BackendLoad[];
}

/** Backend ids and their calls in flight, as parallel lists. */
interface LoadSums {
  ids: string[];
  inFlight: number[];
}

export function packSums(sums: ReadonlyMap<string, number>): Uint8Array {
  const loads: LoadSums = { ids: [...sums.keys()], inFlight: [...sums.values()] };
  return packJson(loads);
}

/** Calls in flight of the other gateways; backends without any are omitted. */
export function loadsOfOtherGateways({ sums, own }: LoadTotals): BackendLoad[] {
  const ownCalls = new Map<string, number>();
  for (const { id, inFlight } of own) ownCalls.set(id, (ownCalls.get(id) ?? 0) + inFlight);
  const { ids, inFlight } = unpackJson<LoadSums>(sums);
  return ids
    .map((id, position) => ({ id, inFlight: inFlight[position]! - (ownCalls.get(id) ?? 0) }))
    .filter((load) => load.inFlight > 0);
}
