/** Reads the fields of log records. */
import type { LogRecord } from './log-record.js';

/** Event of the line of a finished call. */
export const CALL = 'call';
export const MEMORY_EXHAUSTED = 'memory budget exhausted';
/** Outcome of a call that was answered. */
export const ANSWERED = 'answered';
/** Outcomes caused by the caller or the operator. */
export const EXPECTED_OUTCOMES: ReadonlySet<unknown> = new Set(['budget-exhausted', 'no-route']);
/** Length of the time windows of summaries, in milliseconds. */
export const WINDOW_MS = 2_000;

/** Matches the start of each send in a call's line: backend, own load, load of other gateways. */
const SEND_PATTERN = /(\S+)@\d+\+\d+/g;

export function optionalNumber(value: unknown): number | undefined {
  return typeof value === 'number' ? value : undefined;
}

export function numberOf(value: unknown): number {
  return optionalNumber(value) ?? 0;
}

/** Internally, ids are prefixed with the name of the tenant. */
export function matchesId(value: unknown, id: string): boolean {
  return typeof value === 'string' && (value === id || value.endsWith(`:${id}`));
}

/** Start of a call in milliseconds since 1970: its line is written at the end and contains the duration. */
export function startOf({ time, fields }: LogRecord): number {
  return Date.parse(time) - numberOf(fields.ms);
}

/** Ids of the backends that a call was sent to, in order. */
export function backendsSentTo({ fields: { sends } }: LogRecord): string[] {
  if (typeof sends !== 'string') return [];
  return [...sends.matchAll(SEND_PATTERN)].map(([, backend]) => backend!);
}

export function byTime(left: LogRecord, right: LogRecord): number {
  return Date.parse(left.time) - Date.parse(right.time);
}

/** A call that left the queue of its gateway, with a permit or refused. */
export interface QueuedCall {
  waitedMs: number;
  /** Number of calls ahead on arrival. */
  waitedBehind: number;
  /**
   * Whether the call was not sent because it would not have been in time. The log does not distinguish a call that left
   * the queue because the queue was full, or that had a permit but found no backend with room.
   */
  isRefused: boolean;
}

/** @returns undefined if the call had a permit at once, or its caller left while it waited */
export function queuedCallOf({ fields }: LogRecord): QueuedCall | undefined {
  const { waitedMs, waitedBehind, outcome, sends } = fields;
  if (typeof waitedMs !== 'number') return undefined;
  const isRefused = outcome === 'overloaded' && !sends;
  return { waitedMs, waitedBehind: numberOf(waitedBehind), isRefused };
}
