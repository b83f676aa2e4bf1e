/** Why a turn was not reserved, or is reserved and can't be sent. */
import { LedgegaugeError } from '../common/index.js';
import { GroupUnavailableError } from '../consensus/index.js';
import { LEDGER_GROUP, type MissingHistory, RESERVE } from './messages.js';

/** When a turn may come back whose history no member holds, at the soonest, in milliseconds. */
const MISSING_COME_BACK_MS = 1_000;

const CONTEXT = { step: RESERVE.name, peer: LEDGER_GROUP, retriable: true };

/** No leader of the ledger did what it was asked; the reservation may stand. */
export class MaybeReservedError extends GroupUnavailableError {
  constructor(message: string) {
    super(message, CONTEXT);
  }
}

/** The reservation was not told to the ledger, so that it can't stand. */
export class NotReservedError extends GroupUnavailableError {
  constructor(message: string) {
    super(message, CONTEXT);
  }
}

/** The turn is reserved, and what it continues from can't be had in its time. */
export class HistoryMissingError extends LedgegaugeError {
  /** @param comeBackMs when another try may fare better, in milliseconds */
  constructor(
    message: string,
    readonly comeBackMs = MISSING_COME_BACK_MS,
  ) {
    super(message, CONTEXT);
  }

  static of({ reason, silentMs }: MissingHistory): HistoryMissingError {
    if (silentMs === undefined) {
      return new HistoryMissingError(`${reason}, and every member answers`);
    }
    const message = `${reason}, and another has been silent for ${Math.round(silentMs)} ms`;
    // It may be away for as long again.
    return new HistoryMissingError(message, Math.max(MISSING_COME_BACK_MS, silentMs));
  }
}
