import { LedgegaugeError, type ErrorContext } from '../common/index.js';

/** A backend request failed; `mayHaveRun` tells whether the backend may have executed it. */
export abstract class BackendError extends LedgegaugeError {
  abstract readonly mayHaveRun: boolean;
}

/** No connection could be established, so the request never reached the backend. */
export class BackendUnreachableError extends BackendError {
  readonly mayHaveRun = false;
}

/** The backend rejected the request without executing it. */
export class BackendRefusedError extends BackendError {
  readonly mayHaveRun = false;

  constructor(
    message: string,
    readonly code: string,
    context: ErrorContext,
  ) {
    super(message, context);
  }
}

/** The connection was lost or timed out after the request was sent. */
export class BackendLostError extends BackendError {
  readonly mayHaveRun = true;
}

/** The backend sent an invalid response. */
export class BackendProtocolError extends BackendError {
  readonly mayHaveRun = true;
}

/** The engine does not know the requested stream. */
export class StreamUnknownError extends BackendError {
  readonly mayHaveRun = true;
}

/** The backend has already seen a newer attempt of the same call. */
export class AttemptFencedError extends BackendError {
  readonly mayHaveRun = false;
}
