/** Reserves one turn and, if it continues another turn, reads its history. */
import { describeError, monotonicMs, sleep } from '../common/index.js';
import type { Logger } from '../observability/index.js';
import type { HistoryReader } from './history-reader.js';
import { HistoryMissingError, MaybeReservedError, NotReservedError } from './ledger-errors.js';
import type { HistorySource, MissingHistory, ReserveResponse, ReserveRequest } from './messages.js';
import type { ReservationTrace } from './reservation-trace.js';

/** Share of the time limit for reading the history from followers; the rest is for asking the leader. */
const HISTORY_READ_SHARE = 0.5;
/** Delay between retries while a member that may hold the history is unreachable, in milliseconds. */
const HISTORY_RETRY_DELAY_MS = 250;

/** A reservation request without the fields that the client adds. */
export type TurnRequest = Omit<ReserveRequest, 'holder' | 'settlements'>;

export interface ReservationAttemptOptions {
  request: TurnRequest;
  /** Time after which the response is of no use, in milliseconds. */
  limitMs: number;
  trace: ReservationTrace;
  /** Sends a request to the ledger's leader. */
  sendRequest: (
    request: TurnRequest,
    limitMs: number,
    trace: ReservationTrace,
  ) => Promise<ReserveResponse>;
  /** Reads histories from followers; if absent, the leader sends them. */
  histories: HistoryReader | undefined;
  logger: Logger;
}

export class ReservationAttempt {
  private readonly deadlineMs: number;

  constructor(private readonly options: ReservationAttemptOptions) {
    this.deadlineMs = monotonicMs() + options.limitMs;
  }

  /**
   * Reserves the turn. The history is read from a follower, or from the leader if no follower returns it.
   * @throws NotReservedError, MaybeReservedError, GroupUnavailableError, HistoryMissingError
   */
  async run(): Promise<ReserveResponse> {
    const { request, histories, trace, sendRequest } = this.options;
    const mayReadElsewhere = histories !== undefined;
    const response = await sendRequest({ ...request, mayReadElsewhere }, this.remainingMs, trace);
    const { historySource, missingHistory } = response;
    if (missingHistory) return this.waitForHistory(missingHistory);
    if (!historySource) return response;
    const history = await this.readFromFollower(historySource);
    if (history) return { ...response, history };
    const retried = await this.retryRequest();
    return retried.missingHistory ? this.waitForHistory(retried.missingHistory) : retried;
  }

  private get remainingMs(): number {
    return Math.max(1, this.deadlineMs - monotonicMs());
  }

  /** @returns undefined if no follower returned the history */
  private async readFromFollower(source: HistorySource): Promise<Uint8Array | undefined> {
    const { request, histories, limitMs, trace, logger } = this.options;
    const { previousTurn: turn } = request;
    if (!histories || turn === undefined) return undefined;
    const startedAt = monotonicMs();
    try {
      const { history, address } = await histories.read(turn, source, limitMs * HISTORY_READ_SHARE);
      trace.historyFrom = address;
      return history;
    } catch (error) {
      logger.info('history asked of the leader', { turn, reason: describeError(error) });
      return undefined;
    } finally {
      trace.times.historyMs += monotonicMs() - startedAt;
    }
  }

  /**
   * Retries while a member that may hold the history is unreachable, unless it has been unreachable for longer than
   * the remaining time.
   */
  private async waitForHistory(missing: MissingHistory): Promise<ReserveResponse> {
    const { trace } = this.options;
    let latest = missing;
    for (;;) {
      const { silentMs = Infinity } = latest;
      if (Math.max(silentMs, HISTORY_RETRY_DELAY_MS) >= this.remainingMs) {
        trace.failedStep = 'read-history';
        throw HistoryMissingError.of(latest);
      }
      await sleep(HISTORY_RETRY_DELAY_MS);
      trace.times.historyMs += HISTORY_RETRY_DELAY_MS;
      const response = await this.retryRequest();
      if (!response.missingHistory) return response;
      latest = response.missingHistory;
    }
  }

  /** Repeats the request of a reserved turn. A failure leaves open whether the reservation is committed. */
  private async retryRequest(): Promise<ReserveResponse> {
    const { request, trace, sendRequest } = this.options;
    try {
      const response = await sendRequest(request, this.remainingMs, trace);
      if (response.history) trace.historyFrom = trace.leader;
      return response;
    } catch (error) {
      if (!(error instanceof NotReservedError)) throw error;
      throw new MaybeReservedError(error.message);
    }
  }
}
