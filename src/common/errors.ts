/**
 * Root of the error hierarchy. Every error names the step and the peer at which it occurred, and
 * whether a retry may help.
 */

/** Where an error occurred and whether a retry may help. */
export interface ErrorContext {
  /** The step in progress, for example `journal.begin`. */
  step: string;
  /** The process, address or file that the step accessed. */
  peer?: string;
  /** Whether a retry of the step may succeed. @default false */
  retriable?: boolean;
  cause?: unknown;
}

/** Base class of the errors raised by this project. */
export class LedgegaugeError extends Error {
  readonly step: string;
  readonly peer: string | undefined;
  readonly retriable: boolean;

  constructor(message: string, context: ErrorContext) {
    super(message, { cause: context.cause });
    this.name = new.target.name;
    this.step = context.step;
    this.peer = context.peer;
    this.retriable = context.retriable ?? false;
  }

  /** One line with step and peer, for logs. */
  describe(): string {
    const peer = this.peer === undefined ? '' : ` (${this.peer})`;
    return `${this.name} at ${this.step}${peer}: ${this.message}`;
  }
}

/** A wait timed out before its condition was met. */
export class TimeoutError extends LedgegaugeError {}

/** Describes any thrown value in one line. */
export function describeError(error: unknown): string {
  if (error instanceof LedgegaugeError) return error.describe();
  if (error instanceof Error) return `${error.name}: ${error.message}`;
  return String(error);
}
