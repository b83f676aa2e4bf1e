/** Messages for configuration leases of gateways. */
import { defineMethod } from '../wire/index.js';
import type { ConfigurationUpdate } from '../intents/index.js';

export interface RenewLeaseRequest {
  gateway: string;
  /** Differs between runs of the same gateway. */
  incarnation: string;
  /** Address that the gateway serves callers on, shown to operators. */
  address: string;
  zone: string;
  /** Current revision of the gateway; 0 for none. */
  revision: number;
}

export interface LeaseGrant {
  /** Duration of the lease from when the gateway sent its request, in milliseconds. */
  leaseMs: number;
  update: ConfigurationUpdate;
  /** Machines that the platform lists as leaving; a hint only. */
  leaving: string[];
}

/** Response of a member that does not lead the intents group. */
export interface LeaseRedirect {
  leaderAddress?: string;
}

export type RenewLeaseResponse = { grant: LeaseGrant } | { redirect: LeaseRedirect };

export interface FetchConfigurationRequest {
  /** Minimum revision to return. */
  atLeast: number;
}

export type FetchConfigurationResponse =
  /** The encoded document, compressed with gzip. */
  | { revision: number; document: Uint8Array }
  /** `behind`: the member does not have the revision yet; `busy`: retry later. */
  | { refusal: 'behind' | 'busy' };

/** Served by every control member. */
export const FETCH_CONFIGURATION = defineMethod<
  FetchConfigurationRequest,
  FetchConfigurationResponse
>('configuration.fetch');

export const RENEW_LEASE = defineMethod<RenewLeaseRequest, RenewLeaseResponse>('lease.renew');
