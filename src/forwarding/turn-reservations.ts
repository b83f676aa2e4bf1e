/** Reserves a turn's tokens at the ledger before it is sent, and settles the reservation afterwards. */
import { describeError, monotonicMs } from '../common/index.js';
import {
  type CachedTurn,
  HistoryMissingError,
  type Ledger,
  type NextTurn,
  NotReservedError,
  ReservationTrace,
  type ReserveOutcome,
  type ReservedStream,
  type Settlement,
  type TurnPlacement,
  TurnHistoryCache,
  type VersionKey,
} from '../ledger/index.js';
import { versionKeyOf } from '../directory/index.js';
import type { LogFields, Logger } from '../observability/index.js';
import type { CompiledRoute, Route } from '../routes/index.js';
import { scopedId } from '../tenants/index.js';
import type { CallDescription, CallExchange, RefusalReason } from './call-exchange.js';
import { describeTrace } from './call-log.js';
import type { CallOutcome, CallRun } from './call-run.js';
import type { ForwardingMetrics } from './forwarding-metrics.js';
import type { StreamRelay } from './stream-relay.js';

export interface TurnReservationsOptions {
  ledger: Ledger;
  logger: Logger;
  metrics: ForwardingMetrics;
}

/** Deadline and expected duration of a turn. */
export interface TurnTime {
  /** Deadline of the final response (monotonic, milliseconds). */
  deadlineMs: number;
  /** Mean duration of a turn of the service, in milliseconds. */
  typicalMs: number;
}

/** A turn as the ledger knows it. */
interface ReservedTurn {
  attempt: string;
  program: string;
  /** The turn that it continues, if turns are kept. */
  previousTurn: string | undefined;
  /** Size of its input, in bytes, if turns are kept. */
  keptInputBytes: number | undefined;
  /** The stream that it begins or resumes, if the ledger has to know it. */
  stream: ReservedStream | undefined;
}

/** The reservation of a turn that may be sent; its ids are scoped by tenant. */
export interface Reservation {
  program: string;
  attempt: string;
  previousTurn?: string;
  history?: Uint8Array;
  /** Duration of the reservation, in milliseconds. */
  tookMs: number;
  /** Breakdown of that duration. */
  trace: ReservationTrace;
  /** Maximum tokens taken from this gateway's allowance, if the ledger was unreachable. */
  allowanceTaken?: number;
  /** The backend that probably has the prompt of the previous turns cached. */
  lastBackend?: string;
  /** The only version at which the stream may run, if the ledger has recorded it. */
  streamVersion?: VersionKey;
}

/** A turn that has ended, whether it was sent or not. */
export interface FinishedTurn {
  exchange: CallExchange;
  run: CallRun;
  ending: CallOutcome;
  /** The route with which it was reserved, which also prices it. */
  route: CompiledRoute;
  reservation: Reservation;
  /** Deadline of the final response (monotonic, milliseconds). */
  deadlineMs: number;
  /** Data of the events that the caller has from an earlier attempt, if it resumed the stream and they could be read. */
  earlierOutput?: Buffer;
}

/** A call was refused before it was sent. */
export class RefusedError extends Error {
  /**
   * @param retryAfterMs retry delay, if known, in milliseconds
   * @param details for the log
   */
  constructor(
    readonly reason: RefusalReason,
    readonly retryAfterMs?: number,
    readonly details?: LogFields,
  ) {
    super(reason);
  }
}

/** Retry delay while the ledger has no room, in milliseconds. Room comes as kept turns expire, which takes seconds. */
const NO_ROOM_RETRY_MS = 1_000;
/** Minimum time for keeping a turn, even past the call's deadline, in milliseconds. */
export const MIN_KEEP_TIMEOUT_MS = 300;

/** Whether each turn on a route is reserved at the ledger, because of its program's budget or to be kept. */
export function needsLedger({ program }: CallDescription, route: Route): boolean {
  return program?.budgetTokens !== undefined || route.retainsTurns;
}

/**
 * The program of a call as the ledger knows it. A call without a program is one of its own, which attempts that resume its
 * stream belong to as well.
 */
export function ledgerProgramOf(
  { program, id }: CallDescription,
  tenant: string | undefined,
  stream?: ReservedStream,
): string {
  if (!program && stream?.kind === 'resume') return stream.attempt;
  return scopedId(tenant, program?.id ?? id!);
}

/** Whether a turn was answered by a stream that later turns may continue. */
export function isTurnToKeep({
  run,
  ending,
  route,
}: Pick<FinishedTurn, 'run' | 'ending' | 'route'>): boolean {
  if (!route.route.retainsTurns || ending.kind !== 'answered') return false;
  return (run.response as StreamRelay).isStream;
}

export class TurnReservations {
  private readonly histories = new TurnHistoryCache();

  constructor(private readonly options: TurnReservationsOptions) {}

  /**
   * Reserves the turn's tokens and reads the history that it continues.
   * @param tenant scope of the ids; undefined for anonymous callers
   * @param stream the stream that the call begins or resumes, if the ledger has to know it
   * @returns undefined if the turn needs neither a reservation nor a history, and resumes no recorded stream
   * @throws RefusedError if the turn must not be sent
   */
  async reserve(
    exchange: CallExchange,
    route: Route,
    time: TurnTime,
    tenant?: string,
    stream?: ReservedStream,
  ): Promise<Reservation | undefined> {
    const { program, previousTurn } = exchange.description;
    const usesLedger = needsLedger(exchange.description, route) || stream?.kind === 'resume';
    if (route.kind !== 'streaming' || !usesLedger) return undefined;
    const call = exchange.description.id!;
    const turn: ReservedTurn = {
      attempt: scopedId(tenant, call),
      program: ledgerProgramOf(exchange.description, tenant, stream),
      previousTurn:
        route.retainsTurns && previousTurn !== undefined
          ? scopedId(tenant, previousTurn)
          : undefined,
      keptInputBytes: route.retainsTurns ? exchange.description.body.length : undefined,
      stream,
    };
    const trace = new ReservationTrace();
    try {
      return await this.requestReservation(exchange, turn, time, trace);
    } catch (error) {
      if (error instanceof RefusedError) throw error;
      const { failedStep: step } = trace;
      if (step) this.options.metrics.noteFailedReservation(step);
      const reason = describeError(error);
      this.options.logger.warn('reservation failed', { call, program: program?.id, step, reason });
      if (!(error instanceof NotReservedError)) {
        const { program: key, attempt } = turn;
        this.options.ledger.settleLater({ program: key, attempt, spentTokens: 0 });
      }
      throw this.refusalOf(error, turn, trace);
    }
  }

  /**
   * Settles the reservation with the tokens that were relayed; a turn that is kept is committed first.
   * @returns the outcome that may be reported to the caller
   */
  async settle(turn: FinishedTurn): Promise<CallOutcome> {
    const { run, ending, route, reservation } = turn;
    const relay = run.response as StreamRelay;
    const spentTokens = relay.events * route.tokensPerEvent(run.serviceName);
    const settlement = this.settlementOf(reservation, spentTokens, placementOf(turn));
    const mustKeep = isTurnToKeep(turn);
    const output = mustKeep ? wholeOutputOf(turn, relay) : undefined;
    const isEndedForMemory = turn.exchange.disconnectedBy === 'memory-budget';
    if (output && !isEndedForMemory) return this.keep(turn, settlement, output);
    this.options.ledger.settleLater(settlement);
    if (!mustKeep) return ending;
    const reason = isEndedForMemory
      ? 'the memory budget is exhausted'
      : 'the events of an earlier attempt are missing';
    return this.brokenOff(turn, reason);
  }

  /** Settles the reservation of a turn that is not sent. */
  release(reservation: Reservation): void {
    this.options.ledger.settleLater(this.settlementOf(reservation, 0));
  }

  private settlementOf(
    { program, attempt, allowanceTaken }: Reservation,
    spentTokens: number,
    placement?: TurnPlacement,
  ): Settlement {
    const settlement: Settlement = { program, attempt, spentTokens, placement };
    if (allowanceTaken === undefined) return settlement;
    return this.options.ledger.drawFromAllowance(settlement, allowanceTaken);
  }

  private async requestReservation(
    { description }: CallExchange,
    turn: ReservedTurn,
    { deadlineMs, typicalMs }: TurnTime,
    trace: ReservationTrace,
  ): Promise<Reservation> {
    const { attempt, program, previousTurn } = turn;
    const startedAt = monotonicMs();
    const cached = previousTurn === undefined ? undefined : this.histories.find(previousTurn);
    const request = {
      ...turn,
      budgetTokens: description.program?.budgetTokens,
      mostTokens: description.mostTokens,
      session: description.program?.session,
      wantsHistory: cached === undefined,
      holdMs: Math.max(0, deadlineMs - startedAt) + MIN_KEEP_TIMEOUT_MS,
    };
    const usefulMs = deadlineMs - startedAt - typicalMs;
    const mayUseAllowance = !this.requiresLedger(turn, cached, deadlineMs);
    const answer = await this.options.ledger.reserve(request, usefulMs, mayUseAllowance, trace);
    const tookMs = monotonicMs() - startedAt;
    this.options.metrics.reservation.observe(tookMs / 1_000);
    if (answer.outcome !== 'granted') throw refusalByLedger(answer.outcome, trace);
    const history = cached?.history ?? answer.history;
    if (previousTurn !== undefined && !history) throw noHistoryError(trace);
    const { allowanceTaken, streamVersion } = answer;
    if (allowanceTaken !== undefined) this.options.metrics.noteAllowanceTurn();
    const lastBackend = answer.lastBackend ?? cached?.backend;
    const granted = { allowanceTaken, lastBackend, streamVersion };
    return { program, attempt, previousTurn, history, tookMs, trace, ...granted };
  }

  /** Whether the turn may begin only with an answer of the ledger, even if an allowance covers its tokens. */
  private requiresLedger(
    { previousTurn, keptInputBytes, stream }: ReservedTurn,
    cached: CachedTurn | undefined,
    deadlineMs: number,
  ): boolean {
    if (stream?.kind === 'resume') return true;
    if (keptInputBytes !== undefined && this.options.ledger.mayLackRoom) return true;
    if (previousTurn === undefined) return false;
    // Later, only a reservation keeps the previous turn until this one is kept as well.
    return cached === undefined || cached.keptUntilMs < deadlineMs;
  }

  private refusalOf(
    error: unknown,
    { program }: ReservedTurn,
    trace: ReservationTrace,
  ): RefusedError {
    const details = describeTrace(trace);
    if (error instanceof HistoryMissingError) {
      return new RefusedError('history-missing', error.comeBackMs, details);
    }
    const outageMs = this.options.ledger.expectedOutageMsOf(program);
    return new RefusedError('ledger-unavailable', outageMs, details);
  }

  private async keep(
    { exchange, ending, route, reservation, deadlineMs }: FinishedTurn,
    settlement: Settlement,
    output: Buffer,
  ): Promise<CallOutcome> {
    const { ledger } = this.options;
    const { attempt, previousTurn, history } = reservation;
    const input = exchange.description.body;
    const { retentionMs } = route.route;
    const keep = { previousTurn, input, output, retentionMs };
    const startedAt = monotonicMs();
    const timeoutMs = Math.max(MIN_KEEP_TIMEOUT_MS, deadlineMs - startedAt);
    try {
      await ledger.settle({ ...settlement, keep }, timeoutMs, nextTurnOf(exchange));
      const { backend } = settlement.placement ?? {};
      const keptUntilMs = startedAt + retentionMs;
      this.histories.add(attempt, { before: history, input, output, backend, keptUntilMs });
      return ending;
    } catch (error) {
      ledger.settleLater(settlement);
      return this.brokenOff({ exchange }, describeError(error));
    }
  }

  /** The outcome of a turn that was answered but cannot be kept. */
  private brokenOff({ exchange }: Pick<FinishedTurn, 'exchange'>, reason: string): CallOutcome {
    const { id: call, program: context } = exchange.description;
    this.options.logger.warn('turn not kept', { call, program: context?.id, reason });
    return { kind: exchange.isAbandoned ? 'abandoned' : 'broken-off' };
  }
}

/** @returns undefined if the turn resumed a stream whose earlier events are missing */
function wholeOutputOf(
  { exchange, earlierOutput }: FinishedTurn,
  relay: StreamRelay,
): Buffer | undefined {
  const output = relay.takeOutput();
  if (exchange.description.lastEventId === undefined) return output;
  return earlierOutput && Buffer.concat([earlierOutput, output]);
}

function noHistoryError(trace: ReservationTrace): HistoryMissingError {
  trace.failedStep = 'read-history';
  return new HistoryMissingError('the ledger returned no history');
}

function refusalByLedger(
  outcome: Exclude<ReserveOutcome, 'granted'>,
  trace: ReservationTrace,
): RefusedError {
  const retryAfterMs = outcome === 'no-room' ? NO_ROOM_RETRY_MS : undefined;
  return new RefusedError(outcome, retryAfterMs, describeTrace(trace));
}

/** What the program's next turn may need from the ledger; undefined if the program has no budget. */
function nextTurnOf({ description }: CallExchange): NextTurn | undefined {
  const { program, mostTokens } = description;
  if (program?.budgetTokens === undefined || mostTokens <= 0) return undefined;
  return { budgetTokens: program.budgetTokens, mostTokens };
}

/** The backend that answered a turn, for the placement of later turns. */
function placementOf({ exchange, run }: FinishedTurn): TurnPlacement | undefined {
  const session = exchange.description.program?.session;
  const answer = run.completeSend;
  if (session === undefined || !answer) return undefined;
  const { backend, softwareVersion } = answer;
  return { session, backend, version: versionKeyOf({ id: backend, softwareVersion }) };
}
