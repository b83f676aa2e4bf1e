/**
 * The ledger of a gateway: sends what concerns a program to the group that the program belongs to. A program may continue a
 * turn of another program, whose group keeps the whole chain: its turns are then charged in its own group, and kept in
 * that of the chain.
 */
import { createLruMap, monotonicMs } from '../common/index.js';
import type { Ledger } from './ledger.js';
import type { LedgerClient, LedgerReservation, NextTurn } from './ledger-client.js';
import type { Settlement } from './ledger-commands.js';
import { NotReservedError } from './ledger-errors.js';
import { LEDGER_GROUP, ledgerGroupOf } from './ledger-groups.js';
import type { TurnRequest } from './reservation-attempt.js';
import { ReservationTrace } from './reservation-trace.js';
import type { StreamRecord } from './stream-versions.js';

/** Number of turns kept away from their programs' groups that are remembered. */
const MAX_REMEMBERED_TURNS = 20_000;

/** A group's answer to the reservation of a turn that continues another program's. */
interface HeldPredecessor {
  keeper: LedgerClient;
  reservation: LedgerReservation;
}

export class LedgerRouter implements Ledger {
  private readonly clients: LedgerClient[];
  /** The groups that keep turns and running attempts, where it is not the group of their programs. */
  private readonly keepers = createLruMap<string, LedgerClient>(MAX_REMEMBERED_TURNS);

  constructor(private readonly createClient: (group: string) => LedgerClient) {
    this.clients = [createClient(LEDGER_GROUP)];
  }

  /** Sets the groups of the ledger, which never change after its foundation. */
  setGroups(names: readonly string[]): void {
    for (const name of names.slice(this.clients.length)) this.clients.push(this.createClient(name));
  }

  get mayLackRoom(): boolean {
    return this.clients.some((client) => client.mayLackRoom);
  }

  get queuedSettlements(): number {
    return this.clients.reduce((sum, client) => sum + client.queuedSettlements, 0);
  }

  /** The largest mean delay of a group's commands, in milliseconds. */
  get delayMs(): number {
    return Math.max(...this.clients.map((client) => client.delayMs));
  }

  /** How long any leader's answer has been overdue, in milliseconds; less if another leader has answered since. */
  get silenceMs(): number {
    const silenceMs = Math.max(...this.clients.map((client) => client.silenceMs));
    return Math.min(silenceMs, this.answeredAgeMs);
  }

  /** Time since the latest answer of any leader, in milliseconds; `Infinity` if there was none. */
  get answeredAgeMs(): number {
    return Math.min(...this.clients.map((client) => client.answeredAgeMs));
  }

  async probe(): Promise<void> {
    await Promise.all(this.clients.map((client) => client.probe()));
  }

  delayMsOf(program: string): number {
    return this.clientOf(program).delayMs;
  }

  expectedOutageMsOf(program: string): number {
    return this.clientOf(program).expectedOutageMs;
  }

  async reserve(
    request: TurnRequest,
    usefulMs: number,
    mayUseAllowance: boolean,
    trace = new ReservationTrace(),
  ): Promise<LedgerReservation> {
    const { program, previousTurn } = request;
    const own = this.clientOf(program);
    const keeper = previousTurn === undefined ? undefined : this.keepers.get(previousTurn);
    const deadlineMs = monotonicMs() + usefulMs;
    const charge = (limitMs: number): Promise<LedgerReservation> =>
      own.reserve(withoutPredecessor(request), limitMs, mayUseAllowance, trace);
    if (keeper && keeper !== own)
      return this.reserveInTwoGroups([keeper], request, deadlineMs, charge, trace);
    const reservation = await own.reserve(request, usefulMs, mayUseAllowance, trace);
    const others = this.clients.filter((client) => client !== own);
    if (reservation.outcome !== 'unknown-predecessor' || others.length === 0) return reservation;
    return this.reserveInTwoGroups(others, request, deadlineMs, charge, trace);
  }

  /**
   * Reserves a turn whose predecessor another group keeps: that group holds it, then the own group charges the program.
   * @param candidates groups that may keep the predecessor
   * @param deadlineMs time from which the response is of no use (monotonic, milliseconds)
   * @param charge reserves the tokens within a time limit in milliseconds
   */
  private async reserveInTwoGroups(
    candidates: readonly LedgerClient[],
    request: TurnRequest,
    deadlineMs: number,
    charge: (limitMs: number) => Promise<LedgerReservation>,
    trace: ReservationTrace,
  ): Promise<LedgerReservation> {
    const held = await this.holdPredecessor(candidates, request, deadlineMs - monotonicMs(), trace);
    if (!('keeper' in held)) return held;
    const charged = await this.chargeHeldTurn(held, request, () =>
      charge(deadlineMs - monotonicMs()),
    );
    return { ...charged, history: held.reservation.history };
  }

  drawFromAllowance(settlement: Settlement, takenTokens: number): Settlement {
    return this.clientOf(settlement.program).drawFromAllowance(settlement, takenTokens);
  }

  async settle(finished: Settlement, timeoutMs: number, nextTurn?: NextTurn): Promise<void> {
    const own = this.clientOf(finished.program);
    const keeper = this.keepers.get(finished.attempt);
    if (!keeper) return own.settle(finished, timeoutMs, nextTurn);
    const { keep, ...charge } = finished;
    await keeper.settle({ ...releaseOf(finished), keep }, timeoutMs);
    own.settleLater(charge);
  }

  settleLater(settlement: Settlement): void {
    this.clientOf(settlement.program).settleLater(settlement);
    this.keepers.get(settlement.attempt)?.settleLater(releaseOf(settlement));
  }

  /** See `LedgerClient.flush`. */
  async flush(limitMs: number): Promise<boolean> {
    const flushed = await Promise.all(this.clients.map((client) => client.flush(limitMs)));
    return flushed.every((isSettled) => isSettled);
  }

  recordStreamLater(program: string, record: StreamRecord): void {
    this.clientOf(program).recordStreamLater(record);
  }

  changeStream(program: string, record: StreamRecord, timeoutMs: number): Promise<void> {
    return this.clientOf(program).changeStream(record, timeoutMs);
  }

  private clientOf(program: string): LedgerClient {
    return this.clients[ledgerGroupOf(program, this.clients.length)]!;
  }

  /**
   * Asks groups for the turn that a turn continues, and has the one that keeps it hold it.
   * @returns what all of them answered if none keeps it
   * @throws the error of a group that may keep it and did not answer
   */
  private async holdPredecessor(
    groups: readonly LedgerClient[],
    request: TurnRequest,
    usefulMs: number,
    trace: ReservationTrace,
  ): Promise<HeldPredecessor | LedgerReservation> {
    const uncharged = withoutCharge(request);
    const answers = await Promise.allSettled(
      groups.map((client) => client.reserve(uncharged, usefulMs, false)),
    );
    let held: HeldPredecessor | undefined;
    let refusal: LedgerReservation | undefined;
    let failure: unknown;
    for (const [index, answer] of answers.entries()) {
      const keeper = groups[index]!;
      if (answer.status === 'rejected') {
        failure = answer.reason;
        if (!(failure instanceof NotReservedError)) keeper.settleLater(releaseOf(request));
      } else if (answer.value.outcome !== 'granted') {
        if (refusal?.outcome !== 'no-room') refusal = answer.value;
      } else if (held) keeper.settleLater(releaseOf(request));
      else held = { keeper, reservation: answer.value };
    }
    if (held) return held;
    if (failure === undefined) return refusal!;
    trace.failedStep ??= 'find-leader';
    throw failure;
  }

  /** Reserves the tokens of a turn whose predecessor is held, and releases the predecessor if that fails. */
  private async chargeHeldTurn(
    { keeper }: HeldPredecessor,
    request: TurnRequest,
    charge: () => Promise<LedgerReservation>,
  ): Promise<LedgerReservation> {
    let isCharged = false;
    try {
      const reservation = await charge();
      isCharged = reservation.outcome === 'granted';
      return reservation;
    } finally {
      if (isCharged) this.keepers.set(request.attempt, keeper);
      else keeper.settleLater(releaseOf(request));
    }
  }
}

/** Ends the reservation of an attempt without tokens. */
function releaseOf({ program, attempt }: { program: string; attempt: string }): Settlement {
  return { program, attempt, spentTokens: 0 };
}

/** The part of a reservation that holds its predecessor and reads the history. */
function withoutCharge(request: TurnRequest): TurnRequest {
  const { program, attempt, previousTurn, holdMs, wantsHistory, keptInputBytes } = request;
  return { program, attempt, previousTurn, holdMs, wantsHistory, keptInputBytes, mostTokens: 0 };
}

/** The part of a reservation that charges the program. */
function withoutPredecessor(request: TurnRequest): TurnRequest {
  return { ...request, previousTurn: undefined, keptInputBytes: undefined, wantsHistory: false };
}
