/** Messages between gateways and the ledger's leader. */
import type { LeaderAnswer } from '../consensus/index.js';
import { defineMethod } from '../wire/index.js';
import type { ReserveCommand, ReserveResult, SettleCommand } from './ledger-commands.js';

export const LEDGER_GROUP = 'ledger';

export interface ReserveRequest extends Omit<ReserveCommand, 'kind' | 'nowMs'> {
  /** Whether the answer should carry what the turn continues from. */
  wantsHistory: boolean;
}

export interface ReserveAnswer extends ReserveResult {
  /** What the turn continues from, oldest first, when it names a predecessor. */
  history?: Uint8Array;
}

export type SettleRequest = Omit<SettleCommand, 'kind' | 'nowMs'>;

export interface SettleAnswer {
  isSettled: true;
}

export const RESERVE = defineMethod<ReserveRequest, LeaderAnswer<ReserveAnswer>>('ledger.reserve');
export const SETTLE = defineMethod<SettleRequest, LeaderAnswer<SettleAnswer>>('ledger.settle');
