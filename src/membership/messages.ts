/** Messages by which gateways hold their configuration lease. */
import { defineMethod } from '../wire/index.js';
import type { ConfigurationUpdate } from '../intents/index.js';

export interface RenewLeaseRequest {
  gateway: string;
  /** Differs between two runs of the same gateway. */
  incarnation: string;
  /** Address of the gateway's callers' interface, shown to operators. */
  address: string;
  zone: string;
  /** The revision that the gateway acts on now; 0 for none. */
  revision: number;
}

export interface LeaseGrant {
  /** How long the lease holds, counted from when the gateway sent its request, in milliseconds. */
  leaseMs: number;
  update: ConfigurationUpdate;
  /** Machines that the platform calls leaving; a hint. */
  leaving: string[];
}

/** The answer of a member that does not lead the intents group. */
export interface LeaseRedirect {
  leaderAddress?: string;
}

export type RenewLeaseResponse = { grant: LeaseGrant } | { redirect: LeaseRedirect };

export interface FetchConfigurationRequest {
  /** The lowest revision that is of use. */
  atLeast: number;
}

export type FetchConfigurationResponse =
  /** The document, encoded and compressed by gzip. */
  | { revision: number; document: Uint8Array }
  /** `behind`: the member does not have the revision yet; `busy`: come back later. */
  | { refusal: 'behind' | 'busy' };

/** Served by every control member. */
export const FETCH_CONFIGURATION = defineMethod<
  FetchConfigurationRequest,
  FetchConfigurationResponse
>('configuration.fetch');

export const RENEW_LEASE = defineMethod<RenewLeaseRequest, RenewLeaseResponse>('lease.renew');
