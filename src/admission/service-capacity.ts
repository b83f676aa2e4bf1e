/** Calls that the backends of each service can process at once. */
import type { BackendRegistration } from '../directory/index.js';

/** Slowdown of a backend by its id, 1 for normal speed; undefined if it is not known. */
export type SlowdownLookup = (id: string) => number | undefined;

/**
 * A slow backend counts as fewer slots, because it gets fewer calls. A fast one ends its calls sooner but does not
 * process more of them at once. @param slowdown 1 for normal speed
 */
export function effectiveSlots(slots: number, slowdown = 1): number {
  return slots / Math.max(1, slowdown);
}

/** @param isSilent whether a backend has missed heartbeats; draining and silent backends are not counted */
export function serviceCapacities(
  backends: Iterable<BackendRegistration>,
  isSilent: (id: string) => boolean,
  slowdownOf: SlowdownLookup = () => undefined,
): Map<string, number> {
  const capacities = new Map<string, number>();
  for (const { id, service, slots, phase } of backends) {
    if (phase !== 'ready' || isSilent(id)) continue;
    const capacity = effectiveSlots(slots, slowdownOf(id));
    capacities.set(service, (capacities.get(service) ?? 0) + capacity);
  }
  return capacities;
}
