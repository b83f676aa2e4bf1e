/**
 * Which new programs are taken while a service is overloaded. Without it every turn slows every other
 * down, until hardly any program ends in time.
 *
 * New programs are taken while the load is below a limit. The load is the turns under way at engines and
 * those that wait for the ledger, so that it shows whichever of the two is scarce. The limit follows from
 * what the latest turns took against the time that callers told: what is borne is the load at which turns take
 * a little less than that. It falls at once and rises slowly, so that it doesn't swing. It is read off what all
 * gateways see alike; a limit that each moved up and down by its own turns would drift apart, until some
 * took everything and others nothing. Programs that have begun go on. Near the limit the hash of its id decides
 * whether a program is taken, so that asking again changes little, whichever gateway it asks; the least
 * urgent routes are refused first.
 */
import { hash32, monotonicMs } from '../common/index.js';
import type { Route } from '../routes/index.js';
import { type CallDescription, isFirstTurn } from './call-exchange.js';
import { SmoothedCount } from './smoothed-count.js';
import { type AnsweredTurn, ToldTime } from './told-time.js';

/**
 * Share of the time told that turns should take: programs differ, and end late one by one. This and the
 * numbers below were chosen in the simulation of `overload.test.ts`, by programs in time a second.
 */
const AIMED_SHARE = 0.8;
/** Below this share of the time told turns say nothing about a limit. */
const ONSET_SHARE = 0.73;
/** The limit as a multiple of the load where turns take the onset share, and where they take the aimed one. */
const ONSET_HEADROOM = 1.5;
const AIMED_HEADROOM = 0.7;
/** Turns that ran out of time, or reached no engine, count as taking so many times the time told. */
const MOST_TIME_SHARE = 2;
/** Share of the newest turn in what is known of the latest ones. */
const NEWEST_SHARE = 0.2;
/**
 * Turns that end later than their programs should have count as so much longer for each share of them that
 * does, up to a factor: what callers told is known roughly only, and this is what it is about.
 */
const LATE_WEIGHT = 6;
const MOST_LATE_FACTOR = 1.5;
/** The limit falls at once, and doubles in this time at the fastest, in milliseconds. */
const DOUBLING_MS = 3_000;
/** The limit as a share of the engines' places: where it starts and the most it can be. */
const HIGHEST_LIMIT = 2;
/** The least, where turns spend this share of their time at the ledger, and where they spend less: engines that are half empty are not what makes turns late. */
const LEDGER_BOUND_SHARE = 0.2;
const LOWEST_LIMIT_AT_LEDGER = 0.02;
const LOWEST_LIMIT_AT_ENGINES = 0.25;
/** From the limit up to this many times of it the share of new programs that is refused rises to all. */
const RAMP = 1.35;
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
  /** Gateways that send turns there, each with a limit of its own. */
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

/** What is known of one service. */
class ServiceState {
  /** Load up to which new programs are taken, as a share of the engines' places. */
  limit = HIGHEST_LIMIT;
  /** What the latest turns took, and what callers told for them, in milliseconds. */
  private latestTookMs = 0;
  private latestToldMs = 0;
  /** Share of them that ended later than their program should have. */
  lateShare = 0;
  /** How long they waited for the ledger, in milliseconds. */
  private latestLedgerMs = 0;
  /** The load when they ended. */
  latestBusy = 0;
  /** Turns of this gateway that wait for the ledger. */
  readonly atLedger: SmoothedCount;
  private limitedAt: number;
  private readonly toldTimes = new Map<string, ToldTime>();

  constructor(
    private readonly clock: () => number,
    /** Urgency of the least and the most urgent routes seen; 0 is the most urgent. */
    public leastUrgent: number,
    public mostUrgent: number,
  ) {
    this.limitedAt = clock();
    this.atLedger = new SmoothedCount(clock);
  }

  toldTime(route: string): ToldTime {
    let told = this.toldTimes.get(route);
    if (!told) {
      told = new ToldTime(this.clock);
      this.toldTimes.set(route, told);
    }
    return told;
  }

  /** Load at which turns would take the time aimed at, as a share of the engines' places. */
  private get bearable(): number {
    const { latestBusy } = this;
    const latestShare =
      this.timeShare * Math.min(MOST_LATE_FACTOR, 1 + LATE_WEIGHT * this.lateShare);
    if (latestShare < ONSET_SHARE) return HIGHEST_LIMIT;
    const toAim = Math.min(1, (latestShare - ONSET_SHARE) / (AIMED_SHARE - ONSET_SHARE));
    const headroom = ONSET_HEADROOM + (AIMED_HEADROOM - ONSET_HEADROOM) * toAim;
    const lateness = Math.max(1, latestShare / AIMED_SHARE);
    return Math.min(HIGHEST_LIMIT, Math.max(this.lowest, (latestBusy * headroom) / lateness));
  }

  private get lowest(): number {
    const isAtLedger = this.latestLedgerMs >= this.latestTookMs * LEDGER_BOUND_SHARE;
    return isAtLedger ? LOWEST_LIMIT_AT_LEDGER : LOWEST_LIMIT_AT_ENGINES;
  }

  /** What the latest turns took, as a share of what callers told for them. */
  private get timeShare(): number {
    return this.latestTookMs / Math.max(1, this.latestToldMs);
  }

  note(turn: EndedTurn, capacity: ServiceCapacity): void {
    const toldMs = this.toldMsOf(turn);
    const tookMs =
      turn.ranOutOfTime || turn.calmMs === undefined ? toldMs * MOST_TIME_SHARE : turn.tookMs;
    this.lateShare += ((endedLate(turn) ? 1 : 0) - this.lateShare) * NEWEST_SHARE;
    this.latestTookMs += (tookMs - this.latestTookMs) * NEWEST_SHARE;
    this.latestToldMs += (toldMs - this.latestToldMs) * NEWEST_SHARE;
    this.latestLedgerMs += (turn.ledgerMs - this.latestLedgerMs) * NEWEST_SHARE;
    this.latestBusy += (this.busyShare(capacity) - this.latestBusy) * NEWEST_SHARE;
    const now = this.clock();
    const highest = this.limit * 2 ** ((now - this.limitedAt) / DOUBLING_MS);
    this.limitedAt = now;
    this.limit = Math.min(highest, this.bearable);
  }

  /** What callers told for a turn; one that reached no engine counts as a typical one. */
  private toldMsOf({ route, calmMs }: EndedTurn): number {
    const told = this.toldTime(route.name);
    return calmMs === undefined ? this.latestToldMs : calmMs * told.stretch;
  }

  /**
   * Turns under way, at engines and at the ledger, as a share of the places of all engines. How many of
   * other gateways wait for the ledger follows from how long turns wait there (Little's law); what this gateway
   * has waiting there says so sooner, but for one turn, which may be chance.
   */
  busyShare({ engines, gateways }: ServiceCapacity): number {
    const places = placesOf(engines);
    if (places === 0) return 0;
    const atEngines = engines.reduce((sum, engine) => sum + engine.load, 0);
    const engineMs = Math.max(1, this.latestTookMs - this.latestLedgerMs);
    const atLedger = (atEngines * this.latestLedgerMs) / engineMs;
    const seenAtLedger = (this.atLedger.value - 1) * gateways;
    return (atEngines + Math.max(atLedger, seenAtLedger)) / places;
  }
}

export class ProgramAdmission {
  private readonly services = new Map<string, ServiceState>();

  /** @param clock monotonic, in milliseconds */
  constructor(private readonly clock: () => number = monotonicMs) {}

  /** Load up to which new programs of a service are taken, as a share of its engines' places. */
  limitOf(service: string): number {
    return this.services.get(service)?.limit ?? HIGHEST_LIMIT;
  }

  /** Turns under way by the latest that is known, as a share of the places of the service's engines. */
  busyShareOf(service: string, capacity: ServiceCapacity): number {
    return this.services.get(service)?.busyShare(capacity) ?? 0;
  }

  /** A turn that was admitted begins to wait for the ledger. */
  noteLedgerAsked(service: string): void {
    this.services.get(service)?.atLedger.add(1);
  }

  /** The ledger has answered a turn, or it waits no more. */
  noteLedgerLeft(service: string): void {
    this.services.get(service)?.atLedger.add(-1);
  }

  /** Takes a turn into account that ended, at one of these engines or before it reached any. */
  noteEnd(turn: EndedTurn, capacity: ServiceCapacity): void {
    const state = this.services.get(turn.service);
    if (!state) return;
    state.note(turn, capacity);
    const { calmMs, ranOutOfTime } = turn;
    if (calmMs === undefined || ranOutOfTime) return;
    state.toldTime(turn.route.name).note(answeredTurnOf(turn, calmMs));
  }

  /** Whether a turn is taken; only the first ones of programs are ever refused. */
  admits(service: string, route: Route, call: CallDescription, capacity: ServiceCapacity): boolean {
    const state = this.stateFor(service, route);
    const { program } = call;
    if (!program || !isFirstTurn(call)) return true;
    const load = state.busyShare(capacity) / state.limit;
    const isLessUrgent = route.priority > (state.leastUrgent + state.mostUrgent) / 2;
    const refusedShare = isLessUrgent ? lessUrgentRefused(load) : refusedOf(load);
    return hash32(program.id) / HASH_RANGE >= refusedShare;
  }

  /**
   * Time until as many calls have ended as there are too many, in milliseconds.
   * @param typicalMs what a call of the service takes
   */
  drainMs(service: string, capacity: ServiceCapacity, typicalMs: number): number {
    const busyShare = this.busyShareOf(service, capacity);
    const bearable = this.limitOf(service) * LESS_URGENT_SHARE;
    const excessShare = busyShare === 0 ? 0 : 1 - bearable / busyShare;
    return Math.max(0, excessShare) * typicalMs;
  }

  private stateFor(service: string, { priority }: Route): ServiceState {
    let state = this.services.get(service);
    if (!state) {
      state = new ServiceState(this.clock, priority, priority);
      this.services.set(service, state);
    }
    state.leastUrgent = Math.max(state.leastUrgent, priority);
    state.mostUrgent = Math.min(state.mostUrgent, priority);
    return state;
  }
}

/** @param load as a share of what is borne */
function refusedOf(load: number): number {
  return (load - 1) / (RAMP - 1);
}

function lessUrgentRefused(load: number): number {
  const first = Math.min(LESS_URGENT_REFUSED, refusedOf(load / LESS_URGENT_SHARE));
  return Math.max(first, refusedOf(load));
}

function endedLate({ call, tookMs }: EndedTurn): boolean {
  const { remainingMs } = call.program ?? {};
  return remainingMs !== undefined && remainingMs <= tookMs;
}

function answeredTurnOf({ call }: EndedTurn, calmMs: number): AnsweredTurn {
  return { calmMs, programMs: isFirstTurn(call) ? call.program?.remainingMs : undefined };
}

function placesOf(engines: readonly EngineOccupancy[]): number {
  return engines.reduce((sum, engine) => sum + engine.places, 0);
}
