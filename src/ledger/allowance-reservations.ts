/**
 * Reservations of a gateway that holds allowances. The ledger may reclaim an allowance for a turn that the budget does not
 * cover otherwise, but only after the gateway has given it up, since turns may be drawing on it.
 */
import { monotonicMs } from '../common/index.js';
import type { AllowanceTracker } from './allowance-tracker.js';
import type { ReserveResponse } from './messages.js';
import type { TurnRequest } from './reservation-attempt.js';
import type { ReservationTrace } from './reservation-trace.js';

/** Reserves a turn at the ledger's leader. */
export type Reserve = (
  request: TurnRequest,
  limitMs: number,
  trace: ReservationTrace,
) => Promise<ReserveResponse>;

export class AllowanceReservations {
  constructor(
    private readonly allowances: AllowanceTracker,
    private readonly send: Reserve,
  ) {}

  /**
   * Reserves the turn, if necessary with the tokens of an unused allowance.
   * @param limitMs time after which the response is of no use, in milliseconds
   */
  async reserve(
    request: TurnRequest,
    limitMs: number,
    trace: ReservationTrace,
  ): Promise<ReserveResponse> {
    const { program } = request;
    const deadlineMs = monotonicMs() + limitMs;
    const version = this.allowances.versionOf(program);
    const response = await this.send({ ...request, keepsAllowance: true }, limitMs, trace);
    if (response.outcome === 'budget-exhausted' && this.allowances.surrender(program)) {
      return this.reserveBySurrender(request, Math.max(1, deadlineMs - monotonicMs()), trace);
    }
    this.allowances.update(program, response.allowanceTokens, version);
    return response;
  }

  /** Reserves the turn with the tokens of the surrendered allowance. */
  private async reserveBySurrender(
    request: TurnRequest,
    limitMs: number,
    trace: ReservationTrace,
  ): Promise<ReserveResponse> {
    let allowanceTokens = 0;
    try {
      const response = await this.send(request, limitMs, trace);
      ({ allowanceTokens } = response);
      return response;
    } finally {
      this.allowances.endSurrender(request.program, allowanceTokens);
    }
  }
}
