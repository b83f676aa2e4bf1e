/** Utilization of the backends of a service. */

export interface Occupancy {
  /** Calls in flight, including those of other gateways as last reported. */
  readonly load: number;
  /** Typical calls that the backend can process at once. */
  readonly capacity: number;
}

export function totalCapacityOf(backends: readonly Occupancy[]): number {
  return backends.reduce((sum, { capacity }) => sum + capacity, 0);
}

/** Calls in flight as a multiple of the capacity of all backends; 0 without backends. */
export function utilizationOf(backends: readonly Occupancy[]): number {
  const capacity = totalCapacityOf(backends);
  const load = backends.reduce((sum, backend) => sum + backend.load, 0);
  return capacity === 0 ? 0 : load / capacity;
}
