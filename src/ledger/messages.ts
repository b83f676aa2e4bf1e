/** RPC methods and messages of the ledger. */
import type { LeaderAnswer } from '../consensus/index.js';
import { defineMethod } from '../wire/index.js';
import type {
  ReserveCommand,
  ReserveResult,
  SettleCommand,
  SettleResult,
} from './ledger-commands.js';

/** A request to one group of the ledger. */
export interface LedgerGroupRequest {
  /** Name of the group; absent in requests of releases with a single one. */
  group?: string;
}

export interface ReserveRequest extends Omit<ReserveCommand, 'kind' | 'nowMs'>, LedgerGroupRequest {
  /** Whether the response should include the history of the turn. */
  wantsHistory: boolean;
  /** Whether the response may list members to read the history from instead. */
  mayReadElsewhere?: boolean;
  /** Version of the copy targets that the gateway knows. */
  copyTargets?: string;
  /** Size of the turn's input, in bytes, if the turn is to be kept; absent in requests of earlier releases. */
  keptInputBytes?: number;
}

/** The followers with a vote, to which a gateway sends copies of the values of kept turns. */
export interface CopyTargets {
  /** Changes with each change of the leader or of the members. */
  version: string;
  addresses: string[];
}

/** Members that a history can be read from. */
export interface HistorySource {
  /** Addresses of members that hold the history. */
  addresses: string[];
  /** Log index of the entry that added the turn. */
  atIndex: number;
}

/** Why the history of a reserved turn is unavailable: its turns are kept, but values are missing. */
export interface MissingHistory {
  /** Description for logs. */
  reason: string;
  /**
   * Time since the latest contact with an unreachable member that may hold it, in milliseconds; absent if all members
   * respond and none holds it.
   */
  silentMs?: number;
}

/** Told by the leader with each response. */
export interface LeaderStatus {
  /** Mean delay of its commands by load, in milliseconds; absent in responses of earlier releases. */
  delayMs?: number;
}

export interface ReserveResponse extends ReserveResult, LeaderStatus {
  /** History of the turn, oldest first, if it has a predecessor. */
  history?: Uint8Array;
  /** Present instead of a history that the leader could not read. */
  missingHistory?: MissingHistory;
  /** Present instead of the history if it is to be read from these members. */
  historySource?: HistorySource;
  /** Present if the gateway's version is outdated. */
  copyTargets?: CopyTargets;
}

export interface SettleRequest extends Omit<SettleCommand, 'kind' | 'nowMs'>, LedgerGroupRequest {
  /** Version of the copy targets that the gateway sent the values to; absent if it sent none. */
  copiedTo?: string;
  /** Whether the gateway can send the values to the followers itself. */
  canCopy?: boolean;
  /** Whether the gateway reads `notKept` from the response; absent in requests of earlier releases. */
  readsNotKept?: boolean;
}

export interface SettleResponse extends SettleResult, LeaderStatus {
  /** False if nothing was settled: the gateway must send the values to the targets and retry. */
  isSettled: boolean;
  /** Number of streams whose versions were recorded; absent if the leader's release records none. */
  recordedStreams?: number;
  /** Present if the gateway did not send the values to the current targets. */
  copyTargets?: CopyTargets;
}

/** Requests values of kept turns from a member. */
export interface ReadTurnsRequest extends LedgerGroupRequest {
  turns: string[];
  /** Log index of the state that refers to the turns; absent if expired turns need not be reported. */
  atIndex?: number;
}

export interface ReadTurnsResponse {
  /** Id of the responding member. The address alone is ambiguous, as a replaced member reuses it. */
  memberId?: string;
  /** Turn ids with their values: input followed by output. */
  values: [string, Uint8Array][];
  /** Turns that have expired in the member's state, which is at least as recent as the sender's. */
  expired: string[];
  /** Index up to which the member knows entries to be committed, with which these turns expired. @default 0 */
  commitIndex?: number;
  /** Turns of the member's state whose values it has lost; the state is at least as recent as the sender's. */
  lost: string[];
  /** Number of turns, from the first on, that the response covers. */
  covered: number;
}

/** Requests the history up to and including a turn. */
export interface ReadHistoryRequest extends LedgerGroupRequest {
  turn: string;
  /** Log index that the member must have applied before it responds. */
  atIndex: number;
}

export interface ReadHistoryResponse {
  /** Absent if this member cannot provide it now. */
  history?: Uint8Array;
}

/** Sends a follower the value of a turn ahead of the log entry that refers to it. */
export interface TakeCopyNotice extends LedgerGroupRequest {
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
