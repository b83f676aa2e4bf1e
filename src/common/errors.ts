/**
 * The error hierarchy's root. Every error names the step and the peer at which it arose, and
 * whether trying again may help.
 */

/** Where an error arose and what may be done about it. */
export interface ErrorContext {
  /** The step that was under way, for example `journal.begin`. */
  step: string;
  /** The process, address or file the step dealt with. */
  peer?: string;
  /** Whether the same step may succeed when tried again. @default false */
  retriable?: boolean;
  cause?: unknown;
}

/** Base class of all errors that this project raises itself. */
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

/** A wait ran out before its condition came true. */
export class TimeoutError extends LedgegaugeError {}

/** Describes any thrown value in one line. */
export function describeError(error: unknown): string {
  if (error instanceof LedgegaugeError) return error.describe();
  if (error instanceof Error) return `${error.name}: ${error.message}`;
  return String(error);
}
