/**
 * What a turn sets aside at the ledger before it is sent, and how that is settled when it is over.
 */
import { describeError, monotonicMs } from '../common/index.js';
import {
  HistoryMissingError,
  type LedgerClient,
  NotReservedError,
  ReservationTrace,
  type Settlement,
  type TurnPlacement,
  TurnHistoryCache,
} from '../ledger/index.js';
import type { LogFields, Logger } from '../observability/index.js';
import type { CompiledRoute, Route } from '../routes/index.js';
import { scopedId } from '../tenants/index.js';
import type { CallExchange, RefusalReason } from './call-exchange.js';
import { describeSteps } from './call-log.js';
import type { CallOutcome, CallRun } from './call-run.js';
import type { ForwardingMetrics } from './forwarding-metrics.js';
import type { StreamRelay } from './stream-relay.js';

export interface TurnReservationsOptions {
  ledger: LedgerClient;
  logger: Logger;
  metrics: ForwardingMetrics;
  /** Tokens in each event of a service's streams. */
  tokensPerEvent: (service: string) => number;
}

/** The time that a turn has. */
export interface TurnTime {
  /** Monotonic time by which it must have its final answer, in milliseconds. */
  deadlineMs: number;
  /** What a turn of its service takes, in milliseconds. */
  typicalMs: number;
}

/** What the ledger knows a turn by. */
interface TurnIds {
  attempt: string;
  program: string;
  /** The turn that it continues, where turns are kept. */
  previousTurn: string | undefined;
}

/** A turn that may be sent; its ids are those of its tenant's own things. */
export interface Reservation {
  program: string;
  attempt: string;
  previousTurn?: string;
  history?: Uint8Array;
  /** How long the ledger took, in milliseconds. */
  tookMs: number;
  /** Where that time went. */
  steps: ReservationTrace;
  /** Most tokens taken from this gateway's allowance, if the ledger could not be asked. */
  allowanceTaken?: number;
  /** The back end that most likely holds the prompt of the turns before. */
  lastBackend?: string;
}

/** A turn that was sent, or that ended before that. */
export interface FinishedTurn {
  exchange: CallExchange;
  run: CallRun;
  ending: CallOutcome;
  route: CompiledRoute;
  reservation: Reservation;
  /** Monotonic time by which the call must have its final answer, in milliseconds. */
  deadlineMs: number;
}

/** A call was refused before it was sent anywhere. */
export class RefusedError extends Error {
  /**
   * @param retryAfterMs when the caller had better come back, if that is known, in milliseconds
   * @param details what the refusal went by, for the log
   */
  constructor(
    readonly reason: RefusalReason,
    readonly retryAfterMs?: number,
    readonly details?: LogFields,
  ) {
    super(reason);
  }
}

/** Extra time for keeping a turn beyond the call's own limit, in milliseconds. */
const KEEP_SLACK_MS = 300;

export class TurnReservations {
  private readonly histories = new TurnHistoryCache();

  constructor(private readonly options: TurnReservationsOptions) {}

  /**
   * Sets the turn's tokens aside and reads what it continues from.
   * @param tenant whose programs and turns the ids name; absent where callers have none
   * @returns nothing where the route and the call ask for neither
   * @throws RefusedError when the turn must not be sent
   */
  async reserve(
    exchange: CallExchange,
    route: Route,
    time: TurnTime,
    tenant?: string,
  ): Promise<Reservation | undefined> {
    const { program, previousTurn } = exchange.description;
    const isTurn = route.kind === 'streaming';
    if (!isTurn || (program?.budgetTokens === undefined && !route.retainsTurns)) return undefined;
    const call = exchange.description.id!;
    const turn: TurnIds = {
      attempt: scopedId(tenant, call),
      program: scopedId(tenant, program?.id ?? call),
      previousTurn:
        route.retainsTurns && previousTurn !== undefined
          ? scopedId(tenant, previousTurn)
          : undefined,
    };
    const steps = new ReservationTrace();
    try {
      return await this.ask(exchange, turn, time, steps);
    } catch (error) {
      if (error instanceof RefusedError) throw error;
      const { failedStep: step } = steps;
      if (step) this.options.metrics.noteFailedReservation(step);
      const reason = describeError(error);
      this.options.logger.warn('reservation failed', { call, program: program?.id, step, reason });
      if (!(error instanceof NotReservedError)) {
        const { program: key, attempt } = turn;
        this.options.ledger.settleLater({ program: key, attempt, spentTokens: 0 });
      }
      throw this.refusalOf(error, steps);
    }
  }

  /**
   * Replaces the reservation by what was passed on; a turn that is to be kept is committed first.
   * @returns the ending that the caller may be told
   */
  async settle(turn: FinishedTurn): Promise<CallOutcome> {
    const { run, ending, route, reservation } = turn;
    const { ledger } = this.options;
    const { program, attempt, allowanceTaken } = reservation;
    const relay = run.response as StreamRelay;
    const spentTokens = relay.events * this.options.tokensPerEvent(run.serviceName);
    let settlement: Settlement = { program, attempt, spentTokens, placement: placementOf(turn) };
    if (allowanceTaken !== undefined) {
      settlement = ledger.drawFromAllowance(settlement, allowanceTaken);
    }
    const isKept = route.route.retainsTurns && ending.kind === 'answered' && relay.isStream;
    if (isKept) return this.keep(turn, settlement, relay.collectedOutput);
    ledger.settleLater(settlement);
    return ending;
  }

  private async ask(
    { description }: CallExchange,
    { attempt, program, previousTurn }: TurnIds,
    { deadlineMs, typicalMs }: TurnTime,
    steps: ReservationTrace,
  ): Promise<Reservation> {
    const startedAt = monotonicMs();
    const known = previousTurn === undefined ? undefined : this.histories.find(previousTurn);
    const request = {
      program,
      attempt,
      budgetTokens: description.program?.budgetTokens,
      mostTokens: description.mostTokens,
      previousTurn,
      session: description.program?.session,
      wantsHistory: known === undefined,
    };
    const usefulMs = deadlineMs - startedAt - typicalMs;
    // A history that is known here was read from the ledger or committed, so the turn before stands.
    const needsLedger = previousTurn !== undefined && known === undefined;
    const answer = await this.options.ledger.reserve(request, usefulMs, !needsLedger, steps);
    const tookMs = monotonicMs() - startedAt;
    this.options.metrics.reservation.observe(tookMs / 1_000);
    if (answer.outcome !== 'granted') {
      throw new RefusedError(answer.outcome, undefined, describeSteps(steps));
    }
    const history = known ?? answer.history;
    if (previousTurn !== undefined && !history) {
      steps.failedStep = 'read-history';
      throw new HistoryMissingError('the ledger gave none');
    }
    const { allowanceTaken, lastBackend } = answer;
    return { program, attempt, previousTurn, history, tookMs, steps, allowanceTaken, lastBackend };
  }

  private refusalOf(error: unknown, steps: ReservationTrace): RefusedError {
    const details = describeSteps(steps);
    if (error instanceof HistoryMissingError) {
      return new RefusedError('history-missing', error.comeBackMs, details);
    }
    return new RefusedError('ledger-unavailable', this.options.ledger.expectedOutageMs, details);
  }

  private async keep(
    { exchange, ending, route, reservation, deadlineMs }: FinishedTurn,
    settlement: Settlement,
    output: Buffer,
  ): Promise<CallOutcome> {
    const { ledger, logger } = this.options;
    const { attempt, previousTurn, history } = reservation;
    const input = exchange.description.body;
    const keep = { previousTurn, input, output, retentionMs: route.route.retentionMs };
    const timeoutMs = Math.max(KEEP_SLACK_MS, deadlineMs - monotonicMs());
    try {
      await ledger.settle({ ...settlement, keep }, timeoutMs);
      this.histories.add(attempt, history, input, output);
      return ending;
    } catch (error) {
      const { id: call, program: context } = exchange.description;
      const reason = describeError(error);
      logger.warn('turn not kept', { call, program: context?.id, reason });
      ledger.settleLater(settlement);
      return { kind: 'broken-off' };
    }
  }
}

/** Where a turn was answered, for the turns that follow it. */
function placementOf({ exchange, run }: FinishedTurn): TurnPlacement | undefined {
  const session = exchange.description.program?.session;
  const backend = run.answeredBy;
  return session === undefined || backend === undefined ? undefined : { session, backend };
}
