import { LedgegaugeError } from '../common/index.js';

/** The link to a peer is down, was cut, or could not be made. The request may or may not have run. */
export class LinkError extends LedgegaugeError {}

/** The peer did not prove that it knows the shared secret. */
export class AuthenticationError extends LedgegaugeError {}

/** The peer sent bytes that are not frames of this protocol. */
export class FrameError extends LedgegaugeError {}

/** The peer's handler failed; `code` is the name of its error class. */
export class RemoteError extends LedgegaugeError {
  constructor(
    message: string,
    readonly code: string,
    context: { step: string; peer: string; retriable: boolean },
  ) {
    super(message, context);
  }
}
