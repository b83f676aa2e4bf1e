/**
 * The operators' configuration of forwarded calls: routes by host and path, the services that they map
 * to, tenants, and limits on requests.
 */

import type { AdmissionMode, SchedulingMode } from './scheduling-mode.js';

/** Retry semantics of a route. */
export type RouteKind = 'repeatable' | 'at-most-once' | 'streaming';

/** A service with its weight in the distribution of a route's calls. */
export interface RoutePart {
  service: string;
  weight: number;
}

export interface Route {
  name: string;
  host: string;
  /** Starts and ends with a slash. */
  pathPrefix: string;
  kind: RouteKind;
  /** Maximum duration of a call, in milliseconds. */
  timeoutMs: number;
  /** Latency objective, in milliseconds. */
  objectiveMs: number;
  /** 0 is the most urgent. */
  priority: number;
  parts: RoutePart[];
  /** Maximum number of backends that one call may be sent to. */
  maxAttempts: number;
  /** Whether turns are kept, so that a later turn sends only its new input. */
  retainsTurns: boolean;
  /** How long a turn is kept after its response, in milliseconds. */
  retentionMs: number;
  hasSessionAffinity: boolean;
  /** Whether an interrupted stream can be resumed after a known event. */
  isResumable: boolean;
  /** Whether calls without a key are allowed. @default false */
  isAnonymous?: boolean;
}

/** A customer with API keys and a rate limit. */
export interface Tenant {
  name: string;
  /** SHA-256 hash of each key in hexadecimal; empty if all keys were revoked. */
  keyHashes: string[];
  /** Overrides the route's priority; 0 is the most urgent. @default the route's */
  priority?: number;
  /** Calls per second over all gateways; 0 for no limit. */
  ratePerSecond: number;
  /** Calls beyond the rate that may arrive at once. */
  burst: number;
}

/** Properties of the model engines behind a service. */
export interface EngineProperties {
  slots: number;
  cacheTokens: number;
  tokensPerEvent: number;
}

export interface Service {
  name: string;
  /** Maximum number of connections per backend from all gateways. */
  maxConnections: number;
  engine?: EngineProperties;
}

/** Limits on requests from callers. */
export interface RequestLimits {
  maxHeaderBytes: number;
  maxBodyBytes: number;
  headerTimeoutMs: number;
  idleTimeoutMs: number;
}

/** Limits on what backends send; bytes beyond them are not an answer, and the call's attempt ends at once. */
export interface ResponseLimits {
  /** Maximum size of one event of a stream, in bytes. */
  maxEventBytes: number;
  /** Maximum size of a response that is not a stream, in bytes. */
  maxResponseBytes: number;
  /** Maximum size of all events of a turn that is kept for later turns, in bytes. */
  maxTurnBytes: number;
}

export interface RouteConfiguration {
  /** Set by operators; the highest generation takes effect. */
  generation: number;
  routes: Route[];
  services: Service[];
  limits: RequestLimits;
  /** @default `DEFAULT_RESPONSE_LIMITS` */
  responseLimits?: ResponseLimits;
  /** Tenants whose keys are accepted; absent if calls need no key. */
  tenants?: Tenant[];
  /** How gateways schedule calls; see `schedulingModeOf` for the default. */
  scheduling?: SchedulingMode;
  /** How programs are admitted under overload. @default independent */
  admission?: AdmissionMode;
}
