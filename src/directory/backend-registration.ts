/** Registrations of back-end incarnations: what one says of itself, and what is kept of it. */

export type BackendPhase = 'ready' | 'draining';

import type { Incarnation } from './incarnation.js';

/** What a back end says of itself in one heartbeat. */
export interface BackendRegistration extends Incarnation {
  /** Of this start; see `incarnationId`. */
  id: string;
  service: string;
  /** `host:port` where it serves. */
  address: string;
  zone: string;
  /** Calls that it works on at once. */
  slots: number;
  phase: BackendPhase;
  /** Rises with every message of this start, so that a late one can be told. */
  sequence: number;
}

/** A back end as gateways see it. */
export interface BackendRecord extends BackendRegistration {
  /** Whether heartbeats have been missing for some time. */
  isSilent: boolean;
}
