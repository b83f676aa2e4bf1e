/**
 * Computes how many calls a gateway may send to a service. All gateways see the same free places at about the same
 * time, so each takes only its share of them, in proportion to its waiting calls.
 *
 * The load that it handles: 70 gateways with 3 places each, whose figures of each other are 0.1 to 0.2 s old, while an
 * engine ends a call every 30 ms.
 */
import { type Occupancy, totalCapacityOf } from '../performance/index.js';

/** What is known about a backend. */
export interface BackendOccupancy extends Occupancy {
  readonly isSuspect: boolean;
  /** Latency as a multiple of the service's normal one. @default 1 */
  readonly sharedSlowdown?: number;
  /** Whether other gateways report that the backend fails its calls. @default false */
  readonly isFailing?: boolean;
}

/** The state of a service that the limit depends on. */
export interface ServiceState {
  /** Monotonic, in milliseconds. */
  now: number;
  backends: readonly BackendOccupancy[];
  /** Mean time that a backend needs for a call, without the wait in its queue, in milliseconds. */
  typicalMs: number;
  /** Calls that wait in this gateway. */
  ownWaiting: number;
  /** Calls that wait in other gateways, as last reported. */
  otherWaiting: number;
  /** Number of gateways, including this one. */
  gateways: number;
  /** Arrival of the latest load figures (monotonic, milliseconds); -Infinity before the first. */
  figuresAt: number;
}

/** Time that load figures are in transit, during which the backends continue to process calls, in milliseconds. */
const TRANSIT_MS = 150;
/** Time after which figures of other gateways are no longer used, in milliseconds. */
const FIGURES_TTL_MS = 1_500;
/**
 * Time after which no more figures are expected soon, in milliseconds: more than one long poll of the directory. The
 * places of ended calls are then not divided among the gateways, since the others could not learn of them.
 */
export const FIGURES_OVERDUE_MS = 300;
/**
 * Minimum fraction of the places of its ended calls that a gateway reuses at once; the rest is divided among all
 * gateways with the next figures. Without reuse, the places would be idle until then.
 */
const MIN_REUSED_FRACTION = 0.5;

/** Calls that a backend may hold: those in process, and those that it processes while figures are in transit. */
export function ceilingOf(
  { capacity, sharedSlowdown = 1 }: BackendOccupancy,
  typicalMs: number,
): number {
  const effective = capacity / Math.max(1, sharedSlowdown);
  return effective + effective * Math.min(1, TRANSIT_MS / typicalMs);
}

/** Fraction of the free places for a gateway with `own` waiting calls while others have `other`. */
export function shareOf(own: number, other: number): number {
  return own === 0 ? 0 : own / (own + other);
}

/** Backends that get calls. If all are suspect or failing, they are used all the same. */
function usableBackends(backends: readonly BackendOccupancy[]): readonly BackendOccupancy[] {
  const healthy = backends.filter(({ isSuspect, isFailing }) => !isSuspect && !isFailing);
  return healthy.length > 0 ? healthy : backends;
}

/** Limit of one service at one gateway. */
export class DispatchLimit {
  /** Arrival of the figures that `free` is based on. */
  private basedOn: number | undefined;
  /** Free places of all backends when the figures arrived. */
  private free = 0;
  /** Calls in flight of all gateways when the figures arrived. */
  private load = 0;
  /** Calls sent since then. */
  private sent = 0;
  /** Permits in use. */
  private inUse = 0;
  /** Places of ended calls that this gateway reuses, since then. */
  private reused = 0;
  /** Unused fraction of a place from earlier figures. */
  private carried = 0;
  /** Fraction of the ended calls' places that exceed the ceilings and are not used again. */
  private surplusFraction = 0;

  /** Calls that may be sent now; fractions add up until a whole call may be sent. */
  available(state: ServiceState): number {
    if (areOutdated(state)) return ownPlaces(state) - this.inUse;
    this.rebase(state);
    const permits = this.permits(state);
    return areOverdue(state) ? Math.max(permits, ownPlaces(state) - this.inUse) : permits;
  }

  /** Expected permits per millisecond of a gateway with waiting calls while the service is saturated. */
  expectedRate({ backends, typicalMs, ownWaiting, otherWaiting, gateways }: ServiceState): number {
    const capacity = totalCapacityOf(usableBackends(backends));
    const share = otherWaiting > 0 ? shareOf(ownWaiting, otherWaiting) : 1 / gateways;
    return (capacity * share) / typicalMs;
  }

  /** Must be called for each permit that is used. */
  noteSent(): void {
    this.sent += 1;
    this.inUse += 1;
  }

  /** Must be called if a permit was returned without sending the call. */
  noteUnused(): void {
    this.sent = Math.max(0, this.sent - 1);
    this.inUse -= 1;
  }

  /** Must be called when a call of this gateway has ended. */
  noteEnded(state: ServiceState): void {
    this.inUse -= 1;
    // Figures that are not accounted for yet will be compared with the load after the end.
    if (this.basedOn !== state.figuresAt) return;
    this.reused += areOverdue(state) ? 1 : this.reusedFraction(state) * (1 - this.surplusFraction);
  }

  /** Starts to account for the latest figures. */
  private rebase(state: ServiceState): void {
    if (this.basedOn === state.figuresAt) return;
    const isFirst = this.basedOn === undefined || state.ownWaiting === 0;
    this.carried = isFirst ? 0 : Math.min(1, Math.max(0, this.permits(state)));
    this.basedOn = state.figuresAt;
    this.sent = 0;
    this.reused = 0;
    const { typicalMs } = state;
    const backends = usableBackends(state.backends);
    this.free = sumOf(backends, (backend) =>
      Math.max(0, ceilingOf(backend, typicalMs) - backend.load),
    );
    this.load = sumOf(backends, (backend) => backend.load);
    const surplus = this.load - sumOf(backends, (backend) => ceilingOf(backend, typicalMs));
    const processed = this.load * Math.min(1, TRANSIT_MS / typicalMs);
    this.surplusFraction = surplus <= 0 ? 0 : Math.min(1, surplus / processed);
  }

  /**
   * Fraction of the places of ended calls that the gateway reuses. A gateway with more calls in flight than its share of
   * all leaves some to the others; otherwise it would keep its places whatever the others' waiting calls.
   */
  private reusedFraction(state: ServiceState): number {
    const share = this.share(state);
    const fairFraction = (share * this.load) / (this.inUse + 1);
    return Math.min(1, Math.max(MIN_REUSED_FRACTION, share, fairFraction));
  }

  private permits(state: ServiceState): number {
    return this.free * this.share(state) - this.sent + this.reused + this.carried;
  }

  /** Calls sent since the figures arrived count as waiting, so that sending does not lower the share. */
  private share({ ownWaiting, otherWaiting, gateways }: ServiceState): number {
    const assumed = (gateways - 1) * Math.max(0, 1 - this.free / gateways);
    return shareOf(ownWaiting + this.sent, Math.max(otherWaiting, assumed));
  }
}

function areOverdue({ now, figuresAt }: ServiceState): boolean {
  return now - figuresAt > FIGURES_OVERDUE_MS;
}

function areOutdated({ now, figuresAt }: ServiceState): boolean {
  return now - figuresAt > FIGURES_TTL_MS;
}

/** Places of an equal share of all backends; at least one, so that no gateway is cut off. */
function ownPlaces({ backends, typicalMs, gateways }: ServiceState): number {
  const ceiling = sumOf(usableBackends(backends), (backend) => ceilingOf(backend, typicalMs));
  return Math.max(1, ceiling / gateways);
}

function sumOf(
  backends: readonly BackendOccupancy[],
  valueOf: (backend: BackendOccupancy) => number,
): number {
  return backends.reduce((sum, backend) => sum + valueOf(backend), 0);
}
