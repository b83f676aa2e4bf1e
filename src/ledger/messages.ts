/** Messages between gateways and the ledger's leader. */
import type { LeaderAnswer } from '../consensus/index.js';
import { defineMethod } from '../wire/index.js';
import type { ReserveCommand, ReserveResult, SettleCommand } from './ledger-commands.js';

export const LEDGER_GROUP = 'ledger';

export interface ReserveRequest extends Omit<ReserveCommand, 'kind' | 'nowMs'> {
  /** Whether the answer should carry what the turn continues from. */
  wantsHistory: boolean;
  /** Whether the answer may name members to read it at instead. */
  mayReadElsewhere?: boolean;
  /** Version of the copy targets that the gateway knows. */
  copyTargets?: string;
}

/** Where a gateway sends values of kept turns beside the leader: the voters that follow it. */
export interface CopyTargets {
  /** Changes with the leader and with the members. */
  version: string;
  addresses: string[];
}

/** Where a history can be read. */
export interface HistorySource {
  /** Members that hold it. */
  addresses: string[];
  /** Log index from which on their state names it. */
  atIndex: number;
}

/** Why a turn that is reserved comes without its history: the turns are kept, their values can't be had now. */
export interface MissingHistory {
  /** In words, for logs. */
  reason: string;
  /**
   * How long a member that may hold it has not answered the leader, in milliseconds; absent when all members answer
   * and none holds it.
   */
  silentMs?: number;
}

export interface ReserveResponse extends ReserveResult {
  /** What the turn continues from, oldest first, when it names a predecessor. */
  history?: Uint8Array;
  /** In place of a history that the leader could not get. */
  missingHistory?: MissingHistory;
  /** Where to read it, in place of it. */
  historySource?: HistorySource;
  /** Present where the gateway knows others. */
  copyTargets?: CopyTargets;
}

export interface SettleRequest extends Omit<SettleCommand, 'kind' | 'nowMs'> {
  /** Version of the copy targets to which the values were sent as well; absent when they were not. */
  copiedTo?: string;
  /** Whether the gateway sends values to the followers itself once it is told who they are. */
  canCopy?: boolean;
}

export interface SettleResponse {
  /** False where nothing was done: the gateway is to send the values to the targets and to ask again. */
  isSettled: boolean;
  /** Present where the gateway sent values to others, or to none. */
  copyTargets?: CopyTargets;
}

/** Asks a member for values of kept turns that the sender lacks. */
export interface ReadTurnsRequest {
  turns: string[];
  /** The state that names the turns is of this log index; absent when turns that are over don't matter. */
  atIndex?: number;
}

export interface ReadTurnsResponse {
  /** Identity of the member that answers, which its address does not tell once a disk was lost. */
  memberId?: string;
  /** Id of the turn, and its input followed by its output. */
  values: [string, Uint8Array][];
  /** Turns that were over by the member's state, which is not older than the sender's. */
  expired: string[];
  /** Turns that the member's state names, not older than the sender's, and whose values it has lost. */
  lost: string[];
  /** So many of the turns, from the first on, were looked up. */
  covered: number;
}

/** Asks a member that holds them for a turn with all that it continues. */
export interface ReadHistoryRequest {
  turn: string;
  /** The member answers once it has applied the log up to here. */
  atIndex: number;
}

export interface ReadHistoryResponse {
  /** Absent when this member can't give it now. */
  history?: Uint8Array;
}

/** Brings a follower the value of a turn ahead of the log entry that names it. */
export interface TakeCopyNotice {
  turn: string;
  /** The turn's input followed by its output. */
  value: Uint8Array;
}

export const TAKE_COPY = defineMethod<TakeCopyNotice, void>('ledger.take-copy');
export const READ_HISTORY = defineMethod<ReadHistoryRequest, ReadHistoryResponse>(
  'ledger.read-history',
);
export const READ_TURNS = defineMethod<ReadTurnsRequest, ReadTurnsResponse>('ledger.read-turns');
export const RESERVE = defineMethod<ReserveRequest, LeaderAnswer<ReserveResponse>>(
  'ledger.reserve',
);
export const SETTLE = defineMethod<SettleRequest, LeaderAnswer<SettleResponse>>('ledger.settle');
