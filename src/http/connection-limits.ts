/** Bounds of an HTTP server for all its connections together. */

export interface ConnectionLimits {
  /** Open connections; beyond them, the longest idle one is closed or the new one is refused. */
  maxConnections: number;
  /** Requests that may wait behind the first of their connection; beyond them, no connection with one is read. */
  maxWaitingRequests: number;
  /** Time in which a caller must take a part of what it is sent, in milliseconds; otherwise its connection is closed. */
  unreadTimeoutMs: number;
}

/** Options of servers whose timeouts are not configured. */
export const HEAD_TIMEOUTS = {
  /** Time from the first byte of a head to its end, in milliseconds. */
  headersTimeout: 10_000,
  connectionsCheckingInterval: 1_000,
};

/** File descriptors of a process whose settings name no limit. */
const DEFAULT_MAX_FILE_DESCRIPTORS = 4_096;
/** File descriptors for the program's own files. */
const RESERVED_FILE_DESCRIPTORS = 200;
/** Part of the others that callers' connections may use; the rest is for back ends, the group, the disk and the log. */
const CONNECTIONS_FRACTION = 0.5;
const MIN_CONNECTIONS = 16;

/** @returns how many connections of callers a process with so many file descriptors may have open */
export function maxConnectionsFor(maxFileDescriptors = DEFAULT_MAX_FILE_DESCRIPTORS): number {
  const available = maxFileDescriptors - RESERVED_FILE_DESCRIPTORS;
  return Math.max(MIN_CONNECTIONS, Math.floor(available * CONNECTIONS_FRACTION));
}

export const DEFAULT_CONNECTION_LIMITS: ConnectionLimits = {
  maxConnections: maxConnectionsFor(),
  maxWaitingRequests: 1_024,
  unreadTimeoutMs: 15_000,
};
