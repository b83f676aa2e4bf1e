/** One turn's way to its reservation and, where it continues another turn, to its history. */
import { describeError, monotonicMs, sleep } from '../common/index.js';
import type { Logger } from '../observability/index.js';
import type { HistoryReader } from './history-reader.js';
import { HistoryMissingError, MaybeReservedError, NotReservedError } from './ledger-errors.js';
import type { HistorySource, MissingHistory, ReserveResponse, ReserveRequest } from './messages.js';
import type { ReservationTrace } from './reservation-trace.js';

/** Share of a reservation's time for reading a history elsewhere, so that the leader can still be asked for it. */
const READ_SHARE = 0.5;
/**
 * Pause before a history is asked for again whose member does not answer, in milliseconds: a fraction of the time in
 * which a process is back.
 */
const ASK_AGAIN_MS = 250;

/** What a turn asks for. */
export type TurnRequest = Omit<ReserveRequest, 'holder' | 'settlements'>;

export interface ReservationAttemptOptions {
  request: TurnRequest;
  /** How long an answer is of any use, in milliseconds. */
  limitMs: number;
  steps: ReservationTrace;
  /** Asks the ledger's leader. */
  sendRequest: (
    request: TurnRequest,
    limitMs: number,
    steps: ReservationTrace,
  ) => Promise<ReserveResponse>;
  /** Reads histories at members that don't lead; without it the leader sends them. */
  histories: HistoryReader | undefined;
  logger: Logger;
}

export class ReservationAttempt {
  private readonly deadlineMs: number;

  constructor(private readonly options: ReservationAttemptOptions) {
    this.deadlineMs = monotonicMs() + options.limitMs;
  }

  /**
   * The history is read at another member, and asked of the leader only where none gave it.
   * @throws NotReservedError, MaybeReservedError, GroupUnavailableError, HistoryMissingError
   */
  async run(): Promise<ReserveResponse> {
    const { request, histories, steps, sendRequest } = this.options;
    const mayReadElsewhere = histories !== undefined;
    const answer = await sendRequest({ ...request, mayReadElsewhere }, this.leftMs, steps);
    const { historySource, missingHistory } = answer;
    if (missingHistory) return this.waitForHistory(missingHistory);
    if (!historySource) return answer;
    const history = await this.readElsewhere(historySource);
    if (history) return { ...answer, history };
    const last = await this.askOnceMore();
    return last.missingHistory ? this.waitForHistory(last.missingHistory) : last;
  }

  private get leftMs(): number {
    return Math.max(1, this.deadlineMs - monotonicMs());
  }

  /** @returns nothing where no member gave it */
  private async readElsewhere(source: HistorySource): Promise<Uint8Array | undefined> {
    const { request, histories, limitMs, steps, logger } = this.options;
    const { previousTurn: turn } = request;
    if (!histories || turn === undefined) return undefined;
    const startedAt = monotonicMs();
    try {
      const { history, address } = await histories.read(turn, source, limitMs * READ_SHARE);
      steps.historyFrom = address;
      return history;
    } catch (error) {
      logger.info('history asked of the leader', { turn, reason: describeError(error) });
      return undefined;
    } finally {
      steps.times.historyMs += monotonicMs() - startedAt;
    }
  }

  /**
   * A member that may hold the history and does not answer may be on its way back: that is worth waiting for, unless it
   * has been away for longer than the turn has left.
   */
  private async waitForHistory(missing: MissingHistory): Promise<ReserveResponse> {
    const { steps } = this.options;
    let latest = missing;
    for (;;) {
      const { silentMs = Infinity } = latest;
      if (Math.max(silentMs, ASK_AGAIN_MS) >= this.leftMs) {
        steps.failedStep = 'read-history';
        throw HistoryMissingError.of(latest);
      }
      await sleep(ASK_AGAIN_MS);
      steps.times.historyMs += ASK_AGAIN_MS;
      const answer = await this.askOnceMore();
      if (!answer.missingHistory) return answer;
      latest = answer.missingHistory;
    }
  }

  /** For a turn that is reserved already: whatever comes of it, the reservation may stand. */
  private async askOnceMore(): Promise<ReserveResponse> {
    const { request, steps, sendRequest } = this.options;
    try {
      const answer = await sendRequest(request, this.leftMs, steps);
      if (answer.history) steps.historyFrom = steps.leader;
      return answer;
    } catch (error) {
      if (!(error instanceof NotReservedError)) throw error;
      throw new MaybeReservedError(error.message);
    }
  }
}
