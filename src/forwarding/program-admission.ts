/**
 * Which new programs are taken while a service is overloaded. Without it every turn slows every other
 * down, until hardly any program ends in time.
 *
 * New programs are taken while the engines' load is below a limit. The limit falls while turns take so
 * many times longer than on engines with nothing else to do that programs hardly end in time, and rises
 * again when they don't: the load at which the two balance is what the engines can bear. Programs that
 * have begun go on. Near the limit the hash of its id decides whether a program is taken, so that asking
 * again changes little, whichever gateway it asks; the least urgent routes are refused first.
 */
import { hash32 } from '../common/index.js';
import { type CallDescription, isFirstTurn } from './call-exchange.js';

/** Turns may take so many times as long as on engines with nothing else to do. */
const TOLERABLE_STRETCH = 2;
/**
 * What as many turns as fit at once take from the logarithm of the limit if they take twice the
 * tolerable time: the limit moves no faster than turns can show what came of it.
 */
const GAIN = 1;
/** The limit as a share of the engines' places: where it starts and the most it can be, and the least. */
const HIGHEST_LIMIT = 2;
const LOWEST_LIMIT = 0.1;
/** Below this share of the limit the load says nothing about it, and it goes back up. */
const TESTED_SHARE = 0.5;
/** From the limit up to this many times of it the share of new programs that is refused rises to all. */
const RAMP = 1.25;
/** Less urgent programs are refused from this share of the limit on. */
const LESS_URGENT_SHARE = 0.8;
const HASH_RANGE = 2 ** 32;

/** How full an engine is. */
export interface EngineOccupancy {
  /** Calls under way. */
  readonly load: number;
  /** Typical calls that fit at once. */
  readonly capacity: number;
}

/** A turn that is over. */
export interface EndedTurn {
  service: string;
  call: CallDescription;
  /** Whether it ended without a whole answer because of its time or of its caller's patience. */
  ranOutOfTime: boolean;
  tookMs: number;
  /** What it would have taken on engines with nothing else to do, in milliseconds. */
  unloadedMs: number;
}

interface ServiceLimit {
  /** Load up to which new programs are taken, as a share of the engines' places. */
  busyShare: number;
  /** Urgency of the least and the most urgent routes seen; 0 is the most urgent. */
  leastUrgent: number;
  mostUrgent: number;
}

export class ProgramAdmission {
  private readonly limits = new Map<string, ServiceLimit>();

  /** Load up to which new programs of a service are taken, as a share of its engines' places. */
  limitOf(service: string): number {
    return this.limits.get(service)?.busyShare ?? HIGHEST_LIMIT;
  }

  /**
   * Takes a turn into account that ended at one of these engines.
   * @param gateways that send turns to them, each with a limit of its own
   */
  noteEnd(turn: EndedTurn, engines: readonly EngineOccupancy[], gateways: number): void {
    const limit = this.limits.get(turn.service);
    if (!limit) return;
    const ownPlaces = capacityOf(engines) / gateways;
    const step = GAIN / Math.max(1, ownPlaces);
    const isTested = busyShareOf(engines) > limit.busyShare * TESTED_SHARE;
    if (!isTested) {
      limit.busyShare = clampLimit(limit.busyShare * Math.exp(step));
      return;
    }
    limit.busyShare = clampLimit(limit.busyShare * Math.exp(-step * excessOf(turn)));
  }

  /**
   * Whether a turn is taken; only the first ones of programs are ever refused.
   * @param priority of its tenant or route; 0 is the most urgent
   */
  admits(
    service: string,
    priority: number,
    call: CallDescription,
    engines: readonly EngineOccupancy[],
  ): boolean {
    const limit = this.limitFor(service, priority);
    const { program } = call;
    if (!program || !isFirstTurn(call)) return true;
    const isLessUrgent = priority > (limit.leastUrgent + limit.mostUrgent) / 2;
    const bearable = limit.busyShare * (isLessUrgent ? LESS_URGENT_SHARE : 1);
    const refusedShare = (busyShareOf(engines) / bearable - 1) / (RAMP - 1);
    return hash32(program.id) / HASH_RANGE >= refusedShare;
  }

  /**
   * Time until as many calls have ended as there are too many, in milliseconds.
   * @param typicalMs what a call of the service takes
   */
  drainMs(service: string, engines: readonly EngineOccupancy[], typicalMs: number): number {
    const busyShare = busyShareOf(engines);
    const excessShare = busyShare === 0 ? 0 : 1 - this.limitOf(service) / busyShare;
    return Math.max(0, excessShare) * typicalMs;
  }

  private limitFor(service: string, priority: number): ServiceLimit {
    let limit = this.limits.get(service);
    if (!limit) {
      limit = { busyShare: HIGHEST_LIMIT, leastUrgent: priority, mostUrgent: priority };
      this.limits.set(service, limit);
    }
    limit.leastUrgent = Math.max(limit.leastUrgent, priority);
    limit.mostUrgent = Math.min(limit.mostUrgent, priority);
    return limit;
  }
}

function clampLimit(busyShare: number): number {
  return Math.min(HIGHEST_LIMIT, Math.max(LOWEST_LIMIT, busyShare));
}

/** How far a turn is from the tolerable time, as a share of it: -1 where it took none, 1 where it took twice that. */
function excessOf({ call, ranOutOfTime, tookMs, unloadedMs }: EndedTurn): number {
  if (ranOutOfTime) return 1;
  const excess = Math.min(1, tookMs / (unloadedMs * TOLERABLE_STRETCH) - 1);
  const isLate = call.program?.remainingMs === 0;
  return isLate ? Math.max(0, excess) : excess;
}

function capacityOf(engines: readonly EngineOccupancy[]): number {
  return engines.reduce((sum, engine) => sum + engine.capacity, 0);
}

/** Calls under way as a share of the places of all engines. */
function busyShareOf(engines: readonly EngineOccupancy[]): number {
  const capacity = capacityOf(engines);
  const load = engines.reduce((sum, engine) => sum + engine.load, 0);
  return capacity === 0 ? 0 : load / capacity;
}
