/**
 * Client of the ledger's leader in a gateway. Settlements without a waiting caller are sent in batches.
 * While no leader responds, turns that need only budget can run on the gateway's allowance.
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
import type { CutOffSignal } from '../gateway-health/index.js';
import { AllowanceReservations } from './allowance-reservations.js';
import { AllowanceTracker } from './allowance-tracker.js';
import type { HistoryReader } from './history-reader.js';
import {
  HistoryMissingError,
  MaybeReservedError,
  NotReservedError,
  StreamNotRecordedError,
  TurnNotKeptError,
} from './ledger-errors.js';
import { OutageEstimator } from './outage-estimator.js';
import type { AllowanceRenewal, Settlement } from './ledger-commands.js';
import type { Logger } from '../observability/index.js';
import type { Method } from '../wire/index.js';
import { LeaderDelay } from './leader-delay.js';
import { LEDGER_GROUP } from './ledger-groups.js';
import {
  type LeaderStatus,
  type LedgerGroupRequest,
  RESERVE,
  type ReserveResponse,
  SETTLE,
} from './messages.js';
import { ReservationAttempt, type TurnRequest } from './reservation-attempt.js';
import { ReservationTrace } from './reservation-trace.js';
import { ReservationWindow } from './reservation-window.js';
import { type SettlementBatch, SettlementQueue } from './settlement-queue.js';
import { StreamRecorder } from './stream-recorder.js';
import type { StreamRecord } from './stream-versions.js';
import type { ValueCopySender } from './value-copy-sender.js';

/** How long settlements wait to be piggybacked on a reservation, in milliseconds. */
const PIGGYBACK_WAIT_MS = 250;
const FLUSH_POLL_MS = 5;
/** Lower bound of the silence from which reservations carry no settlements, in milliseconds. */
const PIGGYBACK_SILENCE_MS = 50;
/** Initial and maximum retry delays of failed settlements, in milliseconds. */
const RETRY_DELAY_MS = 200;
const MAX_RETRY_DELAY_MS = 1_000;
/** Number of settlements in a request that probes for a leader. */
const PROBE_BATCH_SIZE = 1;
/** Maximum pause between attempts at two members, in milliseconds: one election timeout. */
const MAX_ATTEMPT_PAUSE_MS = 250;
const SETTLE_TIMEOUT_MS = 2_000;
/** The copy targets may change between two attempts. */
const MAX_SETTLE_ATTEMPTS = 3;
/** Timeouts of one attempt at one member, in milliseconds. */
const SETTLE_ATTEMPT_TIMEOUT_MS = 400;
const RESERVE_ATTEMPT_TIMEOUT_MS = 250;
/** Timeout of a reservation for a turn that an allowance covers, in milliseconds. */
const COVERED_RESERVE_TIMEOUT_MS = 200;
/** After a turn without room, turns that an allowance covers ask for room for this time, in milliseconds. */
const ROOM_SUSPECT_MS = 2_000;
/** After a failed reservation, covered turns skip the ledger for this time, in milliseconds. */
const LEADER_SUSPECT_MS = 400;

/** Budget and maximum tokens of the turns that an allowance is asked for. */
export type NextTurn = Omit<AllowanceRenewal, 'holder'>;

/** Result of a reservation. */
export interface LedgerReservation extends ReserveResponse {
  /** Tokens drawn from the allowance, if the ledger was skipped or did not respond. */
  allowanceTaken?: number;
}

export class LedgerClient {
  private readonly queue = new SettlementQueue();
  private readonly allowances = new AllowanceTracker();
  private readonly reservations = new AllowanceReservations(
    this.allowances,
    this.attemptUntilCutOff.bind(this),
  );
  private readonly outage = new OutageEstimator();
  private readonly delay = new LeaderDelay();
  private readonly window = new ReservationWindow(() => this.outage.remainingMs > 0);
  private readonly streamRecorder: StreamRecorder;
  private isSending = false;
  /** Aborted once settlements wait no longer. */
  private readonly flushing = new AbortController();
  private isProbing = false;
  /** The leader's refusal of the latest completed request, if it refused it. */
  private latestRefusal: LeaderRefusal | undefined;
  private leaderSuspectUntil = 0;
  private roomSuspectUntil = 0;

  /**
   * @param holder identifies this process incarnation as the holder of its allowances
   * @param histories reads histories from followers; if absent, the leader sends them
   * @param copies sends kept turns to the followers; if absent, the leader sends them
   * @param cutOff ends reservations that wait while this gateway is cut off; if absent, they wait until their limit
   * @param groupName group of the ledger whose programs it serves
   */
  constructor(
    private readonly groups: GroupClient,
    private readonly logger: Logger,
    private readonly holder: string,
    private readonly histories?: HistoryReader,
    private readonly copies?: ValueCopySender,
    private readonly cutOff?: CutOffSignal,
    private readonly groupName = LEDGER_GROUP,
  ) {
    const send = this.sendStreamRecords.bind(this);
    this.streamRecorder = new StreamRecorder(send, logger);
  }

  /** Expected time until a leader responds, in milliseconds; 0 while one responds. */
  get expectedOutageMs(): number {
    return this.outage.remainingMs;
  }

  /** How long a leader's answer has been overdue, in milliseconds; 0 if no request is unanswered. */
  get silenceMs(): number {
    return Math.min(this.outage.silenceMs, this.answeredAgeMs);
  }

  /** Time since a leader's latest answer, even a refusal, in milliseconds; `Infinity` if there was none. */
  get answeredAgeMs(): number {
    return this.groups.lastHeardLeader(this.groupName)?.ageMs ?? Infinity;
  }

  /** Mean delay of the leader's commands by load, in milliseconds; 0 if it is not known. */
  get delayMs(): number {
    return this.delay.currentMs;
  }

  /** Whether the leader has recently had no room for a turn. */
  get mayLackRoom(): boolean {
    return monotonicMs() < this.roomSuspectUntil;
  }

  /** Number of settlements waiting for delivery. */
  get queuedSettlements(): number {
    return this.queue.size;
  }

  /**
   * Reserves a turn's maximum tokens, and piggybacks waiting settlements.
   * @param usefulMs time after which the response is of no use, in milliseconds
   * @param mayUseAllowance whether the turn may run without a response of the ledger
   * @param trace records timings and the failed step
   * @throws NotReservedError when no request was sent to the ledger
   * @throws HistoryMissingError when no reachable member holds the history; the reservation remains valid
   * @throws GroupUnavailableError when no leader responded in time; the reservation may be committed
   */
  async reserve(
    request: TurnRequest,
    usefulMs: number,
    mayUseAllowance: boolean,
    trace = new ReservationTrace(),
  ): Promise<LedgerReservation> {
    trace.knownLeader = this.groups.lastHeardLeader(this.groupName);
    const { program, mostTokens, stream } = request;
    const isCovered = mayUseAllowance && this.allowances.covers(program, mostTokens);
    // The ledger must record a resumable stream, unless it is unreachable.
    if (isCovered && stream === undefined) return this.grantFromAllowance(request);
    if (isCovered && this.isLeaderUnreachable) return this.grantWithoutLeader(request);
    const worthMs = this.isCutOff ? 0 : usefulMs;
    const limitMs = isCovered ? COVERED_RESERVE_TIMEOUT_MS : this.outage.waitMs(worthMs);
    if (limitMs <= 0) {
      trace.failedStep = this.latestRefusal ? 'commit' : 'find-leader';
      throw this.rejectWithoutWaiting();
    }
    try {
      const response = await this.reservations.reserve(request, limitMs, trace);
      this.leaderSuspectUntil = 0;
      if (response.outcome === 'no-room') this.noteNoRoom();
      return response;
    } catch (error) {
      // The leader did respond.
      if (error instanceof HistoryMissingError) throw error;
      this.leaderSuspectUntil = monotonicMs() + LEADER_SUSPECT_MS;
      if (!isCovered || !this.mayRunUnconfirmed(request)) throw error;
      return this.grantWithoutLeader(request);
    }
  }

  private noteNoRoom(): void {
    this.roomSuspectUntil = monotonicMs() + ROOM_SUSPECT_MS;
  }

  private get isCutOff(): boolean {
    return this.cutOff?.isCutOff ?? false;
  }

  /** Whether a reservation that can be avoided is not worth waiting for. */
  private get isLeaderUnreachable(): boolean {
    return this.isCutOff || monotonicMs() < this.leaderSuspectUntil;
  }

  /** Whether a turn may run on the allowance, although its reservation may be committed as well. */
  private mayRunUnconfirmed({ program, mostTokens, stream }: TurnRequest): boolean {
    // The ledger may have recorded any of the versions, and the stream must begin at the recorded one.
    if (stream?.kind === 'begin' && stream.versions.length > 1) return false;
    return this.allowances.covers(program, mostTokens);
  }

  /**
   * Creates the settlement of a turn that ran on the allowance, and returns its unspent tokens to the
   * allowance.
   */
  drawFromAllowance(settlement: Settlement, takenTokens: number): Settlement {
    const { program, spentTokens } = settlement;
    this.allowances.refund(program, takenTokens - spentTokens);
    return { ...settlement, draw: { holder: this.holder, tokens: spentTokens } };
  }

  /**
   * Resolves once the settlement is committed.
   * @param nextTurn budget and maximum tokens of the program's next turns, for which an allowance is asked
   * @throws GroupUnavailableError when it may not be committed
   * @throws TurnNotKeptError when it is committed without the turn
   */
  async settle(finished: Settlement, timeoutMs: number, nextTurn?: NextTurn): Promise<void> {
    const deadlineMs = monotonicMs() + timeoutMs;
    const renewal = nextTurn && { ...nextTurn, holder: this.holder };
    const settlement: Settlement = { ...finished, renewal };
    const { program, draw } = settlement;
    const version = this.allowances.versionOf(program);
    let allowanceTokens: number | undefined;
    let isSettled = false;
    for (let attempts = 1; !isSettled; attempts += 1) {
      const remainingMs = Math.max(1, deadlineMs - monotonicMs());
      const limits = { timeoutMs: remainingMs, tryTimeoutMs: SETTLE_ATTEMPT_TIMEOUT_MS };
      const copiedTo = this.copies?.send(settlement);
      const canCopy = this.copies !== undefined && attempts < MAX_SETTLE_ATTEMPTS;
      const request = { settlements: [settlement], copiedTo, canCopy, readsNotKept: true };
      const response = await this.call(SETTLE, request, limits);
      if (response.copyTargets) this.copies?.updateTargets(response.copyTargets);
      if (response.notKept === 'no-room') this.noteNoRoom();
      if (response.notKept) throw new TurnNotKeptError(response.notKept);
      ({ isSettled, allowanceTokens } = response);
    }
    if (draw) this.allowances.confirm(program);
    if (allowanceTokens !== undefined) this.allowances.update(program, allowanceTokens, version);
  }

  /** Queues a settlement, which is retried until it is committed or too old. */
  settleLater(settlement: Settlement): void {
    this.queue.add(settlement);
    this.startSending();
  }

  /**
   * Sends the queued settlements without waiting for a reservation to send them with, from now on.
   * Resolves with whether all are committed, after a time limit at the latest.
   */
  async flush(limitMs: number): Promise<boolean> {
    const deadline = monotonicMs() + limitMs;
    this.flushing.abort();
    while (this.isSending && monotonicMs() < deadline) await sleep(FLUSH_POLL_MS);
    return !this.isSending;
  }

  /** Has the version of a stream recorded in the background. */
  recordStreamLater(record: StreamRecord): void {
    this.streamRecorder.recordLater(record);
  }

  /**
   * Resolves once this version replaces the one that the attempt's reservation recorded.
   * @throws GroupUnavailableError or StreamNotRecordedError when either may be recorded
   */
  changeStream(record: StreamRecord, timeoutMs: number): Promise<void> {
    return this.sendStreamRecords([record], timeoutMs);
  }

  private async sendStreamRecords(streams: StreamRecord[], timeoutMs: number): Promise<void> {
    const limits = { timeoutMs, tryTimeoutMs: SETTLE_ATTEMPT_TIMEOUT_MS };
    const response = await this.call(SETTLE, { settlements: [], streams }, limits);
    if (response.recordedStreams !== streams.length) throw new StreamNotRecordedError();
  }

  /** An attempt that is given up may still be committed; the caller settles it. */
  private attemptUntilCutOff(
    request: TurnRequest,
    limitMs: number,
    trace: ReservationTrace,
  ): Promise<ReserveResponse> {
    const attempt = this.attempt(request, limitMs, trace);
    if (!this.cutOff) return attempt;
    return this.cutOff.endWaitWhenCutOff(attempt, () => {
      trace.failedStep ??= 'find-leader';
      return new MaybeReservedError('this gateway is cut off from the leader');
    });
  }

  private attempt(
    request: TurnRequest,
    limitMs: number,
    trace: ReservationTrace,
  ): Promise<ReserveResponse> {
    const { histories, logger } = this;
    const sendRequest = this.reserveWithinWindow.bind(this);
    return new ReservationAttempt({
      request,
      limitMs,
      trace,
      sendRequest,
      histories,
      logger,
    }).run();
  }

  /** Sends the reservation once the window admits it. */
  private async reserveWithinWindow(
    request: TurnRequest,
    limitMs: number,
    trace: ReservationTrace,
  ): Promise<ReserveResponse> {
    const startedAtMs = monotonicMs();
    const hasEntered = await this.window.enter(limitMs);
    const enteredAt = monotonicMs();
    trace.times.windowMs += enteredAt - startedAtMs;
    if (!hasEntered) {
      trace.failedStep = 'enter-window';
      throw new NotReservedError('too many waiting reservations for the ledger');
    }
    const timeoutMs = Math.max(1, startedAtMs + limitMs - enteredAt);
    trace.requestCount += 1;
    try {
      return await this.sendReservation(request, timeoutMs);
    } catch (error) {
      trace.failedStep = error instanceof LeaderRefusedError ? 'commit' : 'find-leader';
      throw error;
    } finally {
      trace.times.leaderMs += monotonicMs() - enteredAt;
      trace.leader = this.groups.lastHeardLeader(this.groupName)?.address;
    }
  }

  /** Sends a reservation with piggybacked settlements. The caller has entered the window. */
  private async sendReservation(request: TurnRequest, timeoutMs: number): Promise<ReserveResponse> {
    const startedAt = monotonicMs();
    const batch = this.queue.take(this.canPiggyback ? undefined : 0);
    const { settlements } = batch;
    const copyTargets = this.copies?.version;
    const fullRequest = { ...request, holder: this.holder, settlements, copyTargets };
    const limits = { timeoutMs, tryTimeoutMs: RESERVE_ATTEMPT_TIMEOUT_MS };
    try {
      const response = await this.call(RESERVE, fullRequest, limits);
      if (response.copyTargets) this.copies?.updateTargets(response.copyTargets);
      // The time includes the leader's requests to other members.
      if (response.missingHistory) this.window.leaveUnmeasured();
      else this.window.leaveAnswered(monotonicMs() - startedAt);
      this.confirmDraws(batch);
      return response;
    } catch (error) {
      this.window.leaveFailed(monotonicMs() - startedAt);
      this.queue.requeue(batch);
      this.startSending();
      throw error;
    }
  }

  private get canPiggyback(): boolean {
    const normalResponseMs = Math.max(PIGGYBACK_SILENCE_MS, 2 * this.window.expectedResponseMs);
    return !this.isLeaderUnavailable && this.outage.silenceMs < normalResponseMs;
  }

  private grantWithoutLeader(request: TurnRequest): LedgerReservation {
    const { attempt: call, program, mostTokens: tokens } = request;
    this.logger.info('ledger.allowance-used', { call, program, tokens });
    return this.grantFromAllowance(request);
  }

  private grantFromAllowance({ program, mostTokens }: TurnRequest): LedgerReservation {
    this.allowances.take(program, mostTokens);
    return { outcome: 'granted', allowanceTokens: 0, allowanceTaken: mostTokens };
  }

  private startSending(): void {
    if (!this.isSending) void this.sendQueue();
  }

  private async sendQueue(): Promise<void> {
    this.isSending = true;
    const retryBackoff = new Backoff({ initialMs: RETRY_DELAY_MS, maximumMs: MAX_RETRY_DELAY_MS });
    while (this.queue.size > 0) {
      const { signal } = this.flushing;
      const piggybackMs = signal.aborted ? 0 : PIGGYBACK_WAIT_MS - this.queue.oldestAgeMs;
      if (piggybackMs > 0) await sleep(piggybackMs, signal);
      // A reservation in flight already probes for a leader.
      else if (this.isLeaderUnavailable && this.window.hasRequestInFlight)
        await sleep(RETRY_DELAY_MS);
      else if (
        await this.sendBatch(
          this.queue.take(this.isLeaderUnavailable ? PROBE_BATCH_SIZE : undefined),
        )
      )
        retryBackoff.reset();
      else await sleep(retryBackoff.nextDelayMs());
    }
    this.isSending = false;
  }

  /** @returns whether the batch was settled */
  private async sendBatch(batch: SettlementBatch): Promise<boolean> {
    const limits = { timeoutMs: SETTLE_TIMEOUT_MS, tryTimeoutMs: SETTLE_ATTEMPT_TIMEOUT_MS };
    try {
      await this.call(SETTLE, { settlements: batch.settlements }, limits);
      this.confirmDraws(batch);
      return true;
    } catch (error) {
      this.queue.requeue(batch);
      const reason = describeError(error);
      this.logger.warn('settlements delayed', { waiting: this.queue.size, reason });
      return false;
    }
  }

  /** Whether an outage of the leader is suspected. */
  private get isLeaderUnavailable(): boolean {
    return this.outage.remainingMs > 0;
  }

  private confirmDraws(batch: SettlementBatch): void {
    for (const { program, draw } of batch.settlements) {
      if (draw) this.allowances.confirm(program);
    }
  }

  /** Probes for a leader, since no reservation waits for one. */
  private rejectWithoutWaiting(): NotReservedError {
    void this.probe();
    const refusal = this.latestRefusal;
    if (!refusal) return new NotReservedError('no leader is expected to respond in time');
    return new NotReservedError(`the leader keeps refusing requests: ${refusal.message}`);
  }

  /** Sends the oldest settlement, or an empty request, unless a reservation is in flight. */
  async probe(): Promise<void> {
    if (this.isProbing || this.window.hasRequestInFlight) return;
    this.isProbing = true;
    await this.sendBatch(this.queue.take(PROBE_BATCH_SIZE));
    this.isProbing = false;
  }

  private async call<Request extends LedgerGroupRequest, Response extends LeaderStatus>(
    method: Method<Request, LeaderAnswer<Response>>,
    request: Request,
    limits: GroupCallOptions,
  ): Promise<Response> {
    this.outage.recordRequest();
    try {
      const options = { ...limits, maximumPauseMs: MAX_ATTEMPT_PAUSE_MS };
      const { groups, groupName: group } = this;
      const response = await callLeader(groups, group, method, { ...request, group }, options);
      this.outage.recordResponse();
      if (response.delayMs !== undefined) this.delay.note(response.delayMs);
      this.latestRefusal = undefined;
      return response;
    } catch (error) {
      // A leader that refuses requests counts as unavailable.
      this.outage.recordFailure();
      this.latestRefusal = error instanceof LeaderRefusedError ? error.refusal : undefined;
      throw error;
    }
  }
}
