/** What gateways need of the ledger, whatever the number of its groups. Programs are named as the ledger knows them. */
import type { LedgerReservation, NextTurn } from './ledger-client.js';
import type { Settlement } from './ledger-commands.js';
import type { TurnRequest } from './reservation-attempt.js';
import type { ReservationTrace } from './reservation-trace.js';
import type { StreamRecord } from './stream-versions.js';

export interface Ledger {
  /** Whether it has recently had no room for a turn. */
  readonly mayLackRoom: boolean;
  /** Number of settlements waiting for delivery. */
  readonly queuedSettlements: number;

  /** Mean delay of a program's commands by load, in milliseconds; 0 if it is not known. */
  delayMsOf(program: string): number;

  /** Expected time until a program's leader responds, in milliseconds; 0 while it responds. */
  expectedOutageMsOf(program: string): number;

  /** See `LedgerClient.reserve`. */
  reserve(
    request: TurnRequest,
    usefulMs: number,
    mayUseAllowance: boolean,
    trace?: ReservationTrace,
  ): Promise<LedgerReservation>;

  /** See `LedgerClient.drawFromAllowance`. */
  drawFromAllowance(settlement: Settlement, takenTokens: number): Settlement;

  /** See `LedgerClient.settle`. */
  settle(finished: Settlement, timeoutMs: number, nextTurn?: NextTurn): Promise<void>;

  /** Queues a settlement, which is retried until it is committed or too old. */
  settleLater(settlement: Settlement): void;

  /** Has the version of a program's stream recorded in the background. */
  recordStreamLater(program: string, record: StreamRecord): void;

  /** See `LedgerClient.changeStream`. */
  changeStream(program: string, record: StreamRecord, timeoutMs: number): Promise<void>;
}
