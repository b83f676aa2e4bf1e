/** Errors of reservations. */
import { LedgegaugeError } from '../common/index.js';
import { GroupUnavailableError } from '../consensus/index.js';
import type { NotKeptReason } from './ledger-commands.js';
import { LEDGER_GROUP } from './ledger-groups.js';
import { type MissingHistory, RESERVE, SETTLE } from './messages.js';

/** Minimum delay before a turn with a missing history is retried, in milliseconds. */
const MISSING_HISTORY_RETRY_MS = 1_000;

const CONTEXT = { step: RESERVE.name, peer: LEDGER_GROUP, retriable: true };

/** No leader confirmed the reservation, which may nevertheless be committed. */
export class MaybeReservedError extends GroupUnavailableError {
  constructor(message: string) {
    super(message, CONTEXT);
  }
}

/** The reservation was not sent to the ledger, so it cannot be committed. */
export class NotReservedError extends GroupUnavailableError {
  constructor(message: string) {
    super(message, CONTEXT);
  }
}

/** The leader settled a request without recording the versions of its streams, as earlier releases do. */
export class StreamNotRecordedError extends LedgegaugeError {
  constructor() {
    super('the leader records no versions of streams', { ...CONTEXT, step: SETTLE.name });
  }
}

/** The turn is settled, but the ledger does not keep it. */
export class TurnNotKeptError extends LedgegaugeError {
  constructor(reason: NotKeptReason) {
    super(`the turn is not kept: ${reason}`, { ...CONTEXT, step: SETTLE.name, retriable: false });
  }
}

/** The turn is reserved, but its history is not available in time. */
export class HistoryMissingError extends LedgegaugeError {
  /** @param comeBackMs delay after which a retry may succeed, in milliseconds */
  constructor(
    message: string,
    readonly comeBackMs = MISSING_HISTORY_RETRY_MS,
  ) {
    super(message, CONTEXT);
  }

  static of({ reason, silentMs }: MissingHistory): HistoryMissingError {
    if (silentMs === undefined) {
      return new HistoryMissingError(`${reason}, and every member answers`);
    }
    const message = `${reason}, and another has been silent for ${Math.round(silentMs)} ms`;
    // The outage is expected to last as long again.
    return new HistoryMissingError(message, Math.max(MISSING_HISTORY_RETRY_MS, silentMs));
  }
}
