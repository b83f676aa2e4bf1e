/**
 * What operators declare about forwarded calls: routes by host and path, the services they lead to,
 * and bounds on what callers may send.
 */

/** What may be repeated on a route. */
export type RouteKind = 'repeatable' | 'at-most-once' | 'streaming';

/** One weighted share of a route's calls. */
export interface RoutePart {
  service: string;
  weight: number;
}

export interface Route {
  name: string;
  host: string;
  /** Begins and ends with a slash. */
  pathPrefix: string;
  kind: RouteKind;
  /** Longest time a call may be held, in milliseconds. */
  timeoutMs: number;
  /** Time within which an answer earns full credit, in milliseconds. */
  objectiveMs: number;
  /** 0 is the most urgent. */
  priority: number;
  parts: RoutePart[];
  /** Most back ends that one call attempt may be sent to. */
  maxAttempts: number;
  /** Whether the system keeps turns, so that a later turn carries its new input only. */
  retainsTurns: boolean;
  /** How long a turn is kept after its answer, in milliseconds. */
  retentionMs: number;
  hasSessionAffinity: boolean;
  /** Whether a broken stream may be taken up again after a known event. */
  isResumable: boolean;
  /** Whether callers need no key. @default false */
  isAnonymous?: boolean;
}

/** Somebody who calls with keys of their own, and how much they may ask for. */
export interface Tenant {
  name: string;
  /** SHA-256 of each key, in hexadecimal digits; none for a tenant that has lost all its keys. */
  keyHashes: string[];
  /** 0 is the most urgent; goes before the route's. @default the route's */
  priority?: number;
  /** Calls a second, of all gateways together; 0 for no limit. */
  ratePerSecond: number;
  /** Calls beyond the rate that may come at once. */
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
  /** Connections that one back end takes from all callers together. */
  maxConnections: number;
  engine?: EngineProperties;
}

/** Bounds on callers' requests. */
export interface RequestLimits {
  maxHeaderBytes: number;
  maxBodyBytes: number;
  headerTimeoutMs: number;
  idleTimeoutMs: number;
}

export interface RouteConfiguration {
  /** Chosen by operators; the highest prevails. */
  generation: number;
  routes: Route[];
  services: Service[];
  limits: RequestLimits;
  /** Those whose keys callers need; absent where callers need none. */
  tenants?: Tenant[];
}
