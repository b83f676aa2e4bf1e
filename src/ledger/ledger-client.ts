/**
 * Reaches the ledger's leader from a gateway. Settlements that nobody waits for go out in batches.
 * While no leader answers, turns that need nothing else of it may go on by the gateway's allowance.
 */
import { Backoff, describeError, monotonicMs, sleep } from '../common/index.js';
import {
  type GroupCallOptions,
  type GroupClient,
  type LeaderAnswer,
  type LeaderRefusal,
  LeaderRefusedError,
  callLeader,
} from '../consensus/index.js';
import { AllowanceTracker } from './allowance-tracker.js';
import type { HistoryReader } from './history-reader.js';
import { HistoryMissingError, NotReservedError } from './ledger-errors.js';
import { OutageEstimator } from './outage-estimator.js';
import type { Settlement } from './ledger-commands.js';
import type { Logger } from '../observability/index.js';
import type { Method } from '../wire/index.js';
import { LEDGER_GROUP, RESERVE, type ReserveResponse, SETTLE } from './messages.js';
import { ReservationAttempt, type TurnRequest } from './reservation-attempt.js';
import { ReservationTrace } from './reservation-trace.js';
import { ReservationWindow } from './reservation-window.js';
import { type SettlementBatch, SettlementQueue } from './settlement-queue.js';
import type { ValueCopySender } from './value-copy-sender.js';

/** How long settlements wait for a reservation that takes them along, in milliseconds. */
const RIDE_WAIT_MS = 250;
/** Settlements ride with a reservation while no answer is overdue: by this, or by as much as answers take. */
const RIDE_SILENCE_MS = 50;
/** Settlements that failed are sent again after a wait up to these, in milliseconds. */
const RESEND_WAIT_MS = 200;
const MOST_RESEND_WAIT_MS = 1_000;
/** Settlements that go with a question whether a leader is back. */
const PROBE_BATCH = 1;
/** Longest pause between two members that a question goes to, in milliseconds: an election time-out. */
const MAXIMUM_PAUSE_MS = 250;
const SETTLE_TIMEOUT_MS = 2_000;
/** Targets of copies may change between two of them. */
const MOST_SETTLE_TRIES = 3;
/** How long one leader may take over settlements, and over one reservation, in milliseconds. */
const SETTLE_TRY_TIMEOUT_MS = 400;
const RESERVE_TRY_TIMEOUT_MS = 250;
/** How long a reservation may take where an allowance covers the turn, in milliseconds. */
const COVERED_RESERVE_TIMEOUT_MS = 200;
/** After a failure, covered turns don't ask the ledger for this time, in milliseconds. */
const SUSPECT_MS = 400;

/** A reservation as the caller's side sees it. */
export interface LedgerReservation extends ReserveResponse {
  /** Most tokens taken from the allowance, if the ledger was not asked or did not answer. */
  allowanceTaken?: number;
}

export class LedgerClient {
  private readonly queue = new SettlementQueue();
  private readonly allowances = new AllowanceTracker();
  private readonly outage = new OutageEstimator();
  private readonly window = new ReservationWindow(() => this.outage.remainingMs > 0);
  private isSending = false;
  private isProbing = false;
  /** Why the leader refused the latest question that has ended, if it did. */
  private latestRefusal: LeaderRefusal | undefined;
  private suspectUntil = 0;

  /**
   * @param holder names this start of the process, for its allowances
   * @param histories reads histories at members that don't lead; without it the leader sends them
   * @param copies sends kept turns to members that don't lead; without it the leader sends them
   */
  constructor(
    private readonly groups: GroupClient,
    private readonly logger: Logger,
    private readonly holder: string,
    private readonly histories?: HistoryReader,
    private readonly copies?: ValueCopySender,
  ) {}

  /** Expected time until a leader answers, in milliseconds; 0 while it does. */
  get expectedOutageMs(): number {
    return this.outage.remainingMs;
  }

  /** Settlements that wait to be delivered. */
  get queuedSettlements(): number {
    return this.queue.size;
  }

  /**
   * Reserves a turn's most tokens, and takes waiting settlements along.
   * @param usefulMs how long an answer is of any use, in milliseconds
   * @param mayUseAllowance whether the turn may run without the ledger's word
   * @param steps notes what the reservation went through
   * @throws NotReservedError when the ledger was not asked
   * @throws HistoryMissingError when no member that answers holds the history; the reservation stands
   * @throws GroupUnavailableError when no leader answered while waiting for one could pay; the
   *   reservation may stand
   */
  async reserve(
    request: TurnRequest,
    usefulMs: number,
    mayUseAllowance: boolean,
    steps = new ReservationTrace(),
  ): Promise<LedgerReservation> {
    steps.knownLeader = this.groups.lastHeardLeader(LEDGER_GROUP);
    const { program, mostTokens } = request;
    const isCovered = mayUseAllowance && this.allowances.covers(program, mostTokens);
    if (isCovered && monotonicMs() < this.suspectUntil) return this.takeAllowance(request);
    const limitMs = isCovered ? COVERED_RESERVE_TIMEOUT_MS : this.outage.waitMs(usefulMs);
    if (limitMs <= 0) {
      steps.failedStep = this.latestRefusal ? 'commit' : 'find-leader';
      throw this.refuseToWait();
    }
    try {
      const answer = await this.attempt(request, limitMs, steps);
      this.suspectUntil = 0;
      this.allowances.update(program, answer.allowanceTokens);
      return answer;
    } catch (error) {
      // The leader is there and answers.
      if (error instanceof HistoryMissingError) throw error;
      this.suspectUntil = monotonicMs() + SUSPECT_MS;
      if (isCovered && this.allowances.covers(program, mostTokens)) {
        return this.takeAllowance(request);
      }
      throw error;
    }
  }

  /**
   * Makes the settlement of a turn that ran by the allowance; what it did not spend may be taken
   * again at once.
   */
  drawFromAllowance(settlement: Settlement, takenTokens: number): Settlement {
    const { program, spentTokens } = settlement;
    this.allowances.refund(program, takenTokens - spentTokens);
    return { ...settlement, draw: { holder: this.holder, tokens: spentTokens } };
  }

  /** Resolves once the settlement is committed. @throws GroupUnavailableError when it may not be */
  async settle(settlement: Settlement, timeoutMs: number): Promise<void> {
    const deadlineMs = monotonicMs() + timeoutMs;
    let isSettled = false;
    for (let tries = 1; !isSettled; tries += 1) {
      const leftMs = Math.max(1, deadlineMs - monotonicMs());
      const limits = { timeoutMs: leftMs, tryTimeoutMs: SETTLE_TRY_TIMEOUT_MS };
      const copiedTo = this.copies?.send(settlement);
      const canCopy = this.copies !== undefined && tries < MOST_SETTLE_TRIES;
      const request = { settlements: [settlement], copiedTo, canCopy };
      const answer = await this.call(SETTLE, request, limits);
      if (answer.copyTargets) this.copies?.updateTargets(answer.copyTargets);
      isSettled = answer.isSettled;
    }
    if (settlement.draw) this.allowances.confirm(settlement.program);
  }

  /** Settles soon, and again until it is committed. */
  settleLater(settlement: Settlement): void {
    this.queue.add(settlement);
    this.sendSoon();
  }

  private attempt(
    request: TurnRequest,
    limitMs: number,
    steps: ReservationTrace,
  ): Promise<ReserveResponse> {
    const { histories, logger } = this;
    const sendRequest = this.ask.bind(this);
    return new ReservationAttempt({
      request,
      limitMs,
      steps,
      sendRequest,
      histories,
      logger,
    }).run();
  }

  /** Asks the ledger once there is room for one more question. */
  private async ask(
    request: TurnRequest,
    limitMs: number,
    steps: ReservationTrace,
  ): Promise<ReserveResponse> {
    const askedAt = monotonicMs();
    const hasEntered = await this.window.enter(limitMs);
    const enteredAt = monotonicMs();
    steps.times.windowMs += enteredAt - askedAt;
    if (!hasEntered) {
      steps.failedStep = 'enter-window';
      throw new NotReservedError('too many wait for the ledger');
    }
    const timeoutMs = Math.max(1, askedAt + limitMs - enteredAt);
    steps.requestCount += 1;
    try {
      return await this.askLeader(request, timeoutMs);
    } catch (error) {
      steps.failedStep = error instanceof LeaderRefusedError ? 'commit' : 'find-leader';
      throw error;
    } finally {
      steps.times.leaderMs += monotonicMs() - enteredAt;
      steps.leader = this.groups.lastHeardLeader(LEDGER_GROUP)?.address;
    }
  }

  /** Takes waiting settlements along; the window was entered before. */
  private async askLeader(request: TurnRequest, timeoutMs: number): Promise<ReserveResponse> {
    const startedAt = monotonicMs();
    const batch = this.queue.take(this.mayRide ? undefined : 0);
    const { settlements } = batch;
    const copyTargets = this.copies?.version;
    const whole = { ...request, holder: this.holder, settlements, copyTargets };
    const limits = { timeoutMs, tryTimeoutMs: RESERVE_TRY_TIMEOUT_MS };
    try {
      const answer = await this.call(RESERVE, whole, limits);
      if (answer.copyTargets) this.copies?.updateTargets(answer.copyTargets);
      // The leader has looked for it at others, and waited for them.
      if (answer.missingHistory) this.window.leaveUnmeasured();
      else this.window.leaveAnswered(monotonicMs() - startedAt);
      this.noteSettled(batch);
      return answer;
    } catch (error) {
      this.window.leaveFailed(monotonicMs() - startedAt);
      this.queue.requeue(batch);
      this.sendSoon();
      throw error;
    }
  }

  private get mayRide(): boolean {
    const ordinaryMs = Math.max(RIDE_SILENCE_MS, 2 * this.window.expectedResponseMs);
    return !this.isAway && this.outage.silenceMs < ordinaryMs;
  }

  private takeAllowance({
    program,
    attempt,
    mostTokens,
  }: {
    program: string;
    attempt: string;
    mostTokens: number;
  }): LedgerReservation {
    this.allowances.take(program, mostTokens);
    this.logger.info('ledger.allowance-used', { call: attempt, program, tokens: mostTokens });
    return { outcome: 'granted', allowanceTokens: 0, allowanceTaken: mostTokens };
  }

  private sendSoon(): void {
    if (!this.isSending) void this.sendQueue();
  }

  private async sendQueue(): Promise<void> {
    this.isSending = true;
    const resendWait = new Backoff({ initialMs: RESEND_WAIT_MS, maximumMs: MOST_RESEND_WAIT_MS });
    while (this.queue.size > 0) {
      const rideMs = RIDE_WAIT_MS - this.queue.oldestAgeMs;
      if (rideMs > 0) await sleep(rideMs);
      // A reservation that asks for a leader finds it for settlements too.
      else if (this.isAway && this.window.hasRequestInFlight) await sleep(RESEND_WAIT_MS);
      else if (await this.sendBatch(this.queue.take(this.isAway ? PROBE_BATCH : undefined)))
        resendWait.reset();
      else await sleep(resendWait.nextDelayMs());
    }
    this.isSending = false;
  }

  /** @returns whether it was settled */
  private async sendBatch(batch: SettlementBatch): Promise<boolean> {
    const limits = { timeoutMs: SETTLE_TIMEOUT_MS, tryTimeoutMs: SETTLE_TRY_TIMEOUT_MS };
    try {
      await this.call(SETTLE, { settlements: batch.settlements }, limits);
      this.noteSettled(batch);
      return true;
    } catch (error) {
      this.queue.requeue(batch);
      const reason = describeError(error);
      this.logger.warn('settlements delayed', { waiting: this.queue.size, reason });
      return false;
    }
  }

  /** Whether no leader has done what it was asked for longer than an answer takes. */
  private get isAway(): boolean {
    return this.outage.remainingMs > 0;
  }

  private noteSettled(batch: SettlementBatch): void {
    for (const { program, draw } of batch.settlements) {
      if (draw) this.allowances.confirm(program);
    }
  }

  /** Somebody has to find out when a leader is back, also while no call waits for it. */
  private refuseToWait(): NotReservedError {
    void this.probe();
    const refusal = this.latestRefusal;
    if (!refusal) return new NotReservedError('a leader will hardly answer in time');
    return new NotReservedError(`the leader has refused for a while: ${refusal.message}`);
  }

  private async probe(): Promise<void> {
    if (this.isProbing || this.window.hasRequestInFlight) return;
    this.isProbing = true;
    await this.sendBatch(this.queue.take(PROBE_BATCH));
    this.isProbing = false;
  }

  private async call<Request, Answer>(
    method: Method<Request, LeaderAnswer<Answer>>,
    request: Request,
    limits: GroupCallOptions,
  ): Promise<Answer> {
    this.outage.recordRequest();
    try {
      const paced = { ...limits, maximumPauseMs: MAXIMUM_PAUSE_MS };
      const answer = await callLeader(this.groups, LEDGER_GROUP, method, request, paced);
      this.outage.recordResponse();
      this.latestRefusal = undefined;
      return answer;
    } catch (error) {
      // A leader that refuses all for long is waited for no longer than one that is away, and asked by as few.
      this.outage.recordFailure();
      this.latestRefusal = error instanceof LeaderRefusedError ? error.refusal : undefined;
      throw error;
    }
  }
}
