/** Registration of a backend incarnation, and the record that gateways keep of it. */
import type { Incarnation } from './incarnation.js';

export type BackendPhase = 'ready' | 'draining';

/** Contents of a backend's heartbeat. */
export interface BackendRegistration extends Incarnation {
  /** Id of the incarnation; see `incarnationId`. */
  id: string;
  service: string;
  /** `host:port` that the backend listens on. */
  address: string;
  zone: string;
  /** Maximum number of concurrent calls. */
  slots: number;
  /** Version of the backend's software; absent if it does not report one. Versions have no order. */
  softwareVersion?: string;
  phase: BackendPhase;
  /** Increases with every message of the incarnation, so that reordered messages are detected. */
  sequence: number;
}

/** A backend as gateways see it. */
export interface BackendRecord extends BackendRegistration {
  /** Whether the backend has missed heartbeats. */
  isSilent: boolean;
}
