import { LedgegaugeError, type ErrorContext } from '../common/index.js';

/** A back end failed. `mayHaveRun` tells whether the request may have run there. */
export abstract class BackendError extends LedgegaugeError {
  abstract readonly mayHaveRun: boolean;
}

/** No connection could be made, so the request never reached the back end. */
export class BackendUnreachableError extends BackendError {
  readonly mayHaveRun = false;
}

/** The back end answered that it does not take the request now. */
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

/** The connection broke, or nothing came for too long, after the request was sent. */
export class BackendLostError extends BackendError {
  readonly mayHaveRun = true;
}

/** The back end sent something that is not an answer. */
export class BackendProtocolError extends BackendError {
  readonly mayHaveRun = true;
}

/** The engine does not know the stream that was asked for. */
export class StreamUnknownError extends BackendError {
  readonly mayHaveRun = true;
}

/** The back end knows a newer attempt of the same call. */
export class AttemptFencedError extends BackendError {
  readonly mayHaveRun = false;
}
