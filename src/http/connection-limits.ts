/** Bounds of an HTTP server for all its connections together. */

export interface ConnectionLimits {
  /** Requests that may wait behind the first of their connection; beyond them, no connection with one is read. */
  maxWaitingRequests: number;
}

export const DEFAULT_CONNECTION_LIMITS: ConnectionLimits = {
  maxWaitingRequests: 1_024,
};
