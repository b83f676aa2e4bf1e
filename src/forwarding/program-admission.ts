/**
 * Which new programs are taken while a service is overloaded. Without it every turn slows every other
 * down, until hardly any program ends in time.
 *
 * New programs are taken while the engines' load is below a limit. The limit falls while turns take so
 * many times longer than on engines with nothing else to do that programs hardly end in time, and rises
 * again when they don't: the load at which the two balance is what the engines can bear. What the ledger
 * bears is a limit of its own (`LedgerLimit`), and the narrower of the two counts. Programs that have begun go on. Near the limit the hash of its id decides whether a program is taken, so that asking
 * again changes little, whichever gateway it asks; the least urgent routes are refused first.
 */
import { hash32, monotonicMs } from '../common/index.js';
import type { Route } from '../routes/index.js';
import { type CallDescription, isFirstTurn } from './call-exchange.js';
import { LedgerLimit, type ServiceLoad } from './ledger-limit.js';

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
/** So many of them are refused before any more urgent ones are: what is less urgent is not starved. */
const LESS_URGENT_REFUSED = 0.65;
const HASH_RANGE = 2 ** 32;

/** How full an engine is. */
export interface EngineOccupancy {
  /** Calls under way. */
  readonly load: number;
  /** Typical calls that fit at once. */
  readonly places: number;
}

/** The engines of a service, and who sends turns to them. */
export interface ServiceCapacity {
  engines: readonly EngineOccupancy[];
  /** Gateways that send turns there, each with limits of its own. */
  gateways: number;
}

/** A turn that is over. */
export interface EndedTurn {
  service: string;
  route: Route;
  call: CallDescription;
  /** Whether it ended without a whole answer because of its time or of its caller's patience. */
  ranOutOfTime: boolean;
  /** From its arrival to its end, with what the ledger took, in milliseconds. */
  tookMs: number;
  /** How long it waited for the ledger, in milliseconds. */
  ledgerMs: number;
  /** What it would have taken on engines with nothing else to do, in milliseconds; absent if it reached none. */
  calmMs?: number;
}

interface ServiceLimit {
  /** Load up to which new programs are taken, as a share of the engines' places. */
  busyShare: number;
  ledger: LedgerLimit;
  /** Urgency of the least and the most urgent routes seen; 0 is the most urgent. */
  leastUrgent: number;
  mostUrgent: number;
}

export class ProgramAdmission {
  private readonly limits = new Map<string, ServiceLimit>();

  /** @param clock monotonic, in milliseconds */
  constructor(private readonly clock: () => number = monotonicMs) {}

  /** Load up to which new programs of a service are taken, as a share of its engines' places. */
  limitOf(service: string): number {
    return this.limits.get(service)?.busyShare ?? HIGHEST_LIMIT;
  }

  /** A turn that was admitted begins to wait for the ledger. */
  noteLedgerAsked(service: string): void {
    this.limits.get(service)?.ledger.noteAsked();
  }

  /** The ledger has answered a turn, or it waits no more. */
  noteLedgerLeft(service: string): void {
    this.limits.get(service)?.ledger.noteLeft();
  }

  /** Takes a turn into account that ended, at one of these engines or before it reached any. */
  noteEnd(turn: EndedTurn, capacity: ServiceCapacity): void {
    const limit = this.limits.get(turn.service);
    if (!limit) return;
    const { call, route, calmMs } = turn;
    const programMs = isFirstTurn(call) ? call.program?.remainingMs : undefined;
    limit.ledger.noteEnd({ ...turn, route: route.name, programMs }, loadOf(capacity));
    if (calmMs === undefined) return;
    const ownPlaces = placesOf(capacity.engines) / capacity.gateways;
    const step = GAIN / Math.max(1, ownPlaces);
    const isTested = busyShareOf(capacity.engines) > limit.busyShare * TESTED_SHARE;
    const change = isTested ? -step * excessOf(turn, calmMs) : step;
    limit.busyShare = clampLimit(limit.busyShare * Math.exp(change));
  }

  /** Whether a turn is taken; only the first ones of programs are ever refused. */
  admits(service: string, route: Route, call: CallDescription, capacity: ServiceCapacity): boolean {
    const limit = this.limitFor(service, route);
    const { program } = call;
    if (!program || !isFirstTurn(call)) return true;
    const load = loadShareOf(limit, capacity);
    const isLessUrgent = route.priority > (limit.leastUrgent + limit.mostUrgent) / 2;
    const refusedShare = isLessUrgent ? lessUrgentRefused(load) : refusedOf(load);
    return hash32(program.id) / HASH_RANGE >= refusedShare;
  }

  /**
   * Time until as many calls have ended as there are too many, in milliseconds.
   * @param typicalMs what a call of the service takes
   */
  drainMs(service: string, capacity: ServiceCapacity, typicalMs: number): number {
    const limit = this.limits.get(service);
    const load = limit ? loadShareOf(limit, capacity) / LESS_URGENT_SHARE : 0;
    return load > 1 ? (1 - 1 / load) * typicalMs : 0;
  }

  private limitFor(service: string, { priority }: Route): ServiceLimit {
    let limit = this.limits.get(service);
    if (!limit) {
      const ledger = new LedgerLimit(this.clock);
      limit = { busyShare: HIGHEST_LIMIT, ledger, leastUrgent: priority, mostUrgent: priority };
      this.limits.set(service, limit);
    }
    limit.leastUrgent = Math.max(limit.leastUrgent, priority);
    limit.mostUrgent = Math.min(limit.mostUrgent, priority);
    return limit;
  }
}

/** The load as a share of what engines and ledger bear, whichever is scarcer. */
function loadShareOf(limit: ServiceLimit, capacity: ServiceCapacity): number {
  const atEngines = busyShareOf(capacity.engines) / limit.busyShare;
  return Math.max(atEngines, limit.ledger.loadOf(loadOf(capacity)));
}

function refusedOf(load: number): number {
  return (load - 1) / (RAMP - 1);
}

function lessUrgentRefused(load: number): number {
  const first = Math.min(LESS_URGENT_REFUSED, refusedOf(load / LESS_URGENT_SHARE));
  return Math.max(first, refusedOf(load));
}

function loadOf({ engines, gateways }: ServiceCapacity): ServiceLoad {
  const atEngines = engines.reduce((sum, engine) => sum + engine.load, 0);
  return { atEngines, places: placesOf(engines), gateways };
}

function clampLimit(busyShare: number): number {
  return Math.min(HIGHEST_LIMIT, Math.max(LOWEST_LIMIT, busyShare));
}

/** How far a turn is from the tolerable time, as a share of it: -1 where it took none, 1 where it took twice that. */
function excessOf({ call, ranOutOfTime, tookMs, ledgerMs }: EndedTurn, calmMs: number): number {
  if (ranOutOfTime) return 1;
  const excess = Math.min(1, (tookMs - ledgerMs) / (calmMs * TOLERABLE_STRETCH) - 1);
  const isLate = call.program?.remainingMs === 0;
  return isLate ? Math.max(0, excess) : excess;
}

function placesOf(engines: readonly EngineOccupancy[]): number {
  return engines.reduce((sum, engine) => sum + engine.places, 0);
}

/** Calls under way as a share of the places of all engines. */
function busyShareOf(engines: readonly EngineOccupancy[]): number {
  const places = placesOf(engines);
  const load = engines.reduce((sum, engine) => sum + engine.load, 0);
  return places === 0 ? 0 : load / places;
}
