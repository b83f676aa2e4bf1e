/** What gateways and the directory's leader say to each other about shares of limits. */
import type { LeaderAnswer } from '../consensus/index.js';
import { defineMethod } from '../wire/index.js';
import type { QuotaShare } from './quota-budget.js';

/** What a gateway holds of one tenant's limit, and needs. */
export interface HeldShare extends QuotaShare {
  tenant: string;
  /** Tokens in its bucket. */
  level: number;
  /** Calls that come here, refused ones too. */
  demandPerSecond: number;
  /** Calls that wait for a token now. */
  waiting: number;
}

export interface SharesRequest {
  gateway: string;
  /** Chosen at each start of the gateway's process. */
  incarnation: string;
  /** Rises with each question of an incarnation, which has one open at a time. */
  sequence: number;
  held: HeldShare[];
  /** Whether what isn't named is held as before; else nothing of it is held. */
  isPartial: boolean;
}

/** What a gateway holds from now on. */
export interface GrantedShare extends QuotaShare {
  tenant: string;
  /** Tokens to be added to its bucket. */
  tokens: number;
  /**
   * Until the next token is there, in milliseconds, where the tenant asks for more than its limit and its burst is used
   * up; 0 where tokens are left.
   */
  scarceForMs: number;
  /** What the tenant asks for, as a multiple of its limit. */
  pressure: number;
}

export interface SharesResponse {
  /** Of the leader that answers; an answer of an earlier term counts for nothing. */
  term: number;
  /** Time since a majority last stood behind that leader, in milliseconds. */
  confirmedAgeMs: number;
  /** Absent where the leader has to be told all that the gateway holds first; nothing is renewed then. */
  shares?: GrantedShare[];
}

export const QUOTA_SHARES = defineMethod<SharesRequest, LeaderAnswer<SharesResponse>>(
  'quotas.shares',
);
