import { LedgegaugeError } from '../common/index.js';

/**
 * The link to a peer is down, failed, or could not be established. The request may have been
 * executed.
 */
export class LinkError extends LedgegaugeError {}

/** The peer failed to prove knowledge of the shared secret. */
export class AuthenticationError extends LedgegaugeError {}

/** The peer sent data that is not a valid frame. */
export class FrameError extends LedgegaugeError {}

/** This process stops. The request was not executed. */
export class NotExecutedError extends LedgegaugeError {}

/** The peer's handler failed. `code` is the class name of its error. */
export class RemoteError extends LedgegaugeError {
  constructor(
    message: string,
    readonly code: string,
    context: { step: string; peer: string; retriable: boolean },
  ) {
    super(message, context);
  }
}
