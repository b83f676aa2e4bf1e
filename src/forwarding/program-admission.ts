/**
 * Admission control of new programs. Under overload, accepting all programs would slow down every turn
 * until hardly any program finishes in time.
 *
 * New programs are admitted while the engines' load is below an adaptive limit. The limit decreases while
 * turns take too long compared to unloaded engines and increases otherwise, so that it converges to the
 * sustainable load. Running programs are always admitted. Near the limit the hash of the program's id
 * decides, so that retries at any gateway get the same result; less urgent routes are refused first.
 *
 * Programs that need the ledger are also refused while its commands are delayed: the engines' load does not show that
 * programs wait for its leader, and is low then. The leader tells the same delay to all gateways.
 */
import { hash32 } from '../common/index.js';
import { type Occupancy, totalCapacityOf, utilizationOf } from '../performance/index.js';
import { type CallDescription, isFirstTurn } from './call-exchange.js';

/** Tolerated latency of turns, as a multiple of the latency on unloaded engines. */
const TOLERATED_SLOWDOWN = 2;
/**
 * Change of the logarithm of the limit after one full load of turns with twice the tolerated latency. The
 * limit must not change faster than its effect becomes visible.
 */
const GAIN = 1;
/** Initial and maximum limit, and minimum limit, as fractions of the engines' capacity. */
const MAX_LIMIT = 2;
const MIN_LIMIT = 0.1;
/** Fraction of the limit below which the load does not test it, so that the limit recovers. */
const TESTED_FRACTION = 0.5;
/** Multiple of the limit at which all new programs are refused; the fraction rises linearly from the limit. */
const FULL_REFUSAL_MULTIPLE = 1.25;
/** Limit of less urgent programs, as a fraction of the limit. */
const LESS_URGENT_FRACTION = 0.8;
/** Tolerated delay of a ledger command, as a fraction of a typical turn, which waits for up to two commands. */
const TOLERATED_LEDGER_DELAY = 0.2;
/** Minimum tolerated delay, in milliseconds: a few syncs of a disk, and turns of an unknown service count as short. */
const MIN_TOLERATED_LEDGER_DELAY_MS = 10;
/** Tolerated delay of less urgent programs, as a fraction: their classes must not be refused altogether before others. */
const LESS_URGENT_LEDGER_FRACTION = 0.9;
/** Load of the ledger at which all new programs are refused; the fraction rises linearly from 1. */
const FULL_REFUSAL_LEDGER_LOAD = 2;
const HASH_RANGE = 2 ** 32;

/** What a caller did to a turn so that its duration is not that of the engine. */
export type CallerInterference =
  /** It left before its deadline: the engine needed at least that long. */
  | 'left-early'
  /** It read slowly, so that the engine was paused: the duration says nothing. */
  | 'read-slowly';

export interface EndedTurn {
  service: string;
  call: CallDescription;
  /** Whether it ended without a complete response because of its deadline, or because the caller left then. */
  ranOutOfTime: boolean;
  interference?: CallerInterference;
  tookMs: number;
  /** Predicted latency on unloaded engines, in milliseconds. */
  unloadedMs: number;
}

interface ServiceLimit {
  /** Load up to which new programs are admitted, as a fraction of the engines' capacity. */
  maxUtilization: number;
  /** Priorities of the least and the most urgent routes seen; 0 is the most urgent. */
  leastUrgent: number;
  mostUrgent: number;
}

/**
 * Delay of the ledger's commands as a multiple of the tolerated one.
 * @param typicalMs mean latency of a turn
 */
export function ledgerLoadOf(delayMs: number, typicalMs: number): number {
  return delayMs / Math.max(MIN_TOLERATED_LEDGER_DELAY_MS, typicalMs * TOLERATED_LEDGER_DELAY);
}

export class ProgramAdmission {
  private readonly limits = new Map<string, ServiceLimit>();

  /** Load up to which new programs of a service are admitted, as a fraction of its engines' capacity. */
  limitOf(service: string): number {
    return this.limits.get(service)?.maxUtilization ?? MAX_LIMIT;
  }

  /**
   * Adapts the limit to a finished turn.
   * @param gateways number of gateways that send turns to the engines, each with its own limit
   */
  noteEnd(turn: EndedTurn, engines: readonly Occupancy[], gateways: number): void {
    const limit = this.limits.get(turn.service);
    if (!limit) return;
    const capacityPerGateway = totalCapacityOf(engines) / gateways;
    const step = GAIN / Math.max(1, capacityPerGateway);
    const isTested = utilizationOf(engines) > limit.maxUtilization * TESTED_FRACTION;
    if (!isTested) {
      limit.maxUtilization = clampLimit(limit.maxUtilization * Math.exp(step));
      return;
    }
    limit.maxUtilization = clampLimit(limit.maxUtilization * Math.exp(-step * excessOf(turn)));
  }

  /**
   * Whether a turn is admitted; only first turns of programs are ever refused.
   * @param priority of the tenant or route; 0 is the most urgent
   * @param ledgerLoad see `ledgerLoadOf`; 0 if the call does not need the ledger
   */
  admits(
    service: string,
    priority: number,
    call: CallDescription,
    engines: readonly Occupancy[],
    ledgerLoad = 0,
  ): boolean {
    const limit = this.limitFor(service, priority);
    const { program } = call;
    if (!program || !isFirstTurn(call)) return true;
    const isLessUrgent = priority > (limit.leastUrgent + limit.mostUrgent) / 2;
    const admittedUtilization = limit.maxUtilization * (isLessUrgent ? LESS_URGENT_FRACTION : 1);
    const admittedLedgerLoad = isLessUrgent ? LESS_URGENT_LEDGER_FRACTION : 1;
    const refusedFraction = Math.max(
      excessFraction(utilizationOf(engines) / admittedUtilization, FULL_REFUSAL_MULTIPLE),
      excessFraction(ledgerLoad / admittedLedgerLoad, FULL_REFUSAL_LEDGER_LOAD),
    );
    return hash32(program.id) / HASH_RANGE >= refusedFraction;
  }

  /**
   * Estimated time until the load has fallen to the limit, in milliseconds.
   * @param typicalMs mean latency of a call of the service
   * @param ledgerLoad as for `admits`
   */
  drainMs(
    service: string,
    engines: readonly Occupancy[],
    typicalMs: number,
    ledgerLoad = 0,
  ): number {
    const limit = this.limitOf(service);
    const excess = Math.max(shareAbove(utilizationOf(engines), limit), shareAbove(ledgerLoad, 1));
    return excess * typicalMs;
  }

  private limitFor(service: string, priority: number): ServiceLimit {
    let limit = this.limits.get(service);
    if (!limit) {
      limit = { maxUtilization: MAX_LIMIT, leastUrgent: priority, mostUrgent: priority };
      this.limits.set(service, limit);
    }
    limit.leastUrgent = Math.max(limit.leastUrgent, priority);
    limit.mostUrgent = Math.min(limit.mostUrgent, priority);
    return limit;
  }
}

/** Position of a ratio between 1, where it is 0, and the ratio where it is 1. */
function excessFraction(ratio: number, fullRatio: number): number {
  return (ratio - 1) / (fullRatio - 1);
}

/** Share of a value that lies above a limit; 0 below it. */
function shareAbove(value: number, limit: number): number {
  return value > limit ? 1 - limit / value : 0;
}

function clampLimit(utilization: number): number {
  return Math.min(MAX_LIMIT, Math.max(MIN_LIMIT, utilization));
}

/** Relative deviation of a turn from the tolerated latency: -1 for no time, 1 for twice that latency or more. */
function excessOf({ call, ranOutOfTime, interference, tookMs, unloadedMs }: EndedTurn): number {
  if (interference === 'read-slowly') return 0;
  if (ranOutOfTime) return 1;
  const excess = Math.min(1, tookMs / (unloadedMs * TOLERATED_SLOWDOWN) - 1);
  const isLate = call.program?.remainingMs === 0;
  return isLate || interference === 'left-early' ? Math.max(0, excess) : excess;
}
