/** Messages between gateways and the directory's leader about quota shares. */
import type { LeaderAnswer } from '../consensus/index.js';
import { defineMethod } from '../wire/index.js';
import type { QuotaShare } from './quota-budget.js';

/** The share of one tenant's limit that a gateway holds, and its demand. */
export interface HeldShare extends QuotaShare {
  tenant: string;
  /** Tokens in the gateway's bucket. */
  level: number;
  /** Calls per second that arrive at the gateway, including rejected ones. */
  demandPerSecond: number;
  /** Calls currently waiting for a token. */
  waiting: number;
}

export interface SharesRequest {
  gateway: string;
  /** Random id of the gateway's process. */
  incarnation: string;
  /** Increases with each request of an incarnation, which has at most one request in flight. */
  sequence: number;
  held: HeldShare[];
  /** Whether shares not listed in `held` are unchanged; otherwise they are no longer held. */
  isPartial: boolean;
}

/** The share that a gateway holds from now on. */
export interface GrantedShare extends QuotaShare {
  tenant: string;
  /** Tokens to add to the gateway's bucket. */
  tokens: number;
  /**
   * Time until the next token is available, in milliseconds, if the tenant exceeds its limit and has used up its
   * burst; 0 if tokens are left.
   */
  scarceForMs: number;
  /** The tenant's total demand as a multiple of its limit. */
  pressure: number;
}

export interface SharesResponse {
  /** Term of the responding leader; responses of earlier terms are ignored. */
  term: number;
  /** Time since a majority last confirmed the leader, in milliseconds. */
  confirmedAgeMs: number;
  /** Absent if the leader needs a full report of the gateway's shares first; no lease is renewed then. */
  shares?: GrantedShare[];
}

export const QUOTA_SHARES = defineMethod<SharesRequest, LeaderAnswer<SharesResponse>>(
  'quotas.shares',
);
