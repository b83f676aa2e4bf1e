/** Commands of the replicated ledger of program budgets and kept turns. */
import type { TurnPlacement } from './program-placements.js';
import type { ReservedStream, StreamRecord, VersionKey } from './stream-versions.js';

/** Reserves the maximum tokens of a turn before any of them can reach the caller. */
export interface ReserveCommand {
  kind: 'reserve';
  program: string;
  /** Id of the call attempt; a repeated reservation of the same attempt changes nothing. */
  attempt: string;
  /** Token budget of the program; absent if it has none. */
  budgetTokens?: number;
  /** Maximum number of tokens that the turn can generate. */
  mostTokens: number;
  /** Id of the turn that this turn continues. */
  previousTurn?: string;
  /**
   * Time until the turn may be kept, for which the turn that it continues is kept as well, in milliseconds. Absent in
   * commands of earlier releases.
   */
  holdMs?: number;
  /** Gateway incarnation that can be granted an allowance. */
  holder?: string;
  /**
   * Whether the holder may draw on its allowance, so that it must not be reclaimed for this turn. Absent in commands
   * of earlier releases.
   */
  keepsAllowance?: boolean;
  /** Session that the turn belongs to. */
  session?: string;
  /** The stream that the call begins or resumes; absent if it cannot be resumed. */
  stream?: ReservedStream;
  /** Settlements of finished turns, applied before the reservation. */
  settlements?: Settlement[];
  /** The leader's clock, in milliseconds. */
  nowMs: number;
}

/** Tokens that a turn drew from its gateway's allowance. */
export interface AllowanceDraw {
  holder: string;
  tokens: number;
}

/** Asks for an allowance for the next turns of a program. */
export interface AllowanceRenewal {
  holder: string;
  budgetTokens: number;
  /** Maximum number of tokens of one turn. */
  mostTokens: number;
}

/** A turn that later turns can continue, with its value. */
export interface KeptTurn {
  previousTurn?: string;
  /** The new input of this turn. */
  input: Uint8Array;
  /** Data of the turn's events, each terminated by a line feed. */
  output: Uint8Array;
  retentionMs: number;
}

/** A kept turn without its value, as in a log entry. Each member that holds the entry stores the value. */
export interface KeptTurnReference {
  previousTurn?: string;
  retentionMs: number;
}

/** Replaces a reservation by the tokens that were delivered, and adds the kept turn, if any. */
export interface Settlement {
  program: string;
  /** Id of the call attempt; a repeated settlement of the same attempt changes nothing. */
  attempt: string;
  spentTokens: number;
  keep?: KeptTurn | KeptTurnReference;
  draw?: AllowanceDraw;
  /** Raises the holder's allowance after the settlement. */
  renewal?: AllowanceRenewal;
  /** Where the turn ran; absent if no backend responded. */
  placement?: TurnPlacement;
}

export interface SettleCommand {
  kind: 'settle';
  settlements: Settlement[];
  /** Versions of streams whose reservations did not record them, or recorded another one. */
  streams?: StreamRecord[];
  nowMs: number;
}

/** Whether a kept turn carries its value, and not only a reference to it. */
export function hasInlineValue(keep: KeptTurn | KeptTurnReference): keep is KeptTurn {
  return 'input' in keep;
}

export type LedgerCommand = ReserveCommand | SettleCommand;

export type ReserveOutcome =
  | 'granted'
  | 'budget-exhausted'
  | 'unknown-predecessor'
  /** No version is recorded for the stream that the call resumes. */
  | 'unknown-stream'
  /** The ledger has no room for the turn; nothing was reserved. */
  | 'no-room';

export interface SettleResult {
  /** Allowance of the holder that asked for a renewal; absent if none did. */
  allowanceTokens?: number;
  /** Present if a settlement's turn is not kept. */
  notKept?: NotKeptReason;
}

/** Why a turn was settled without being kept. */
export type NotKeptReason =
  | 'no-room'
  /** The turn that it continues is not kept any more. */
  | 'unknown-predecessor';

export interface ReserveResult {
  outcome: ReserveOutcome;
  /** Tokens that the holder may spend for the program while the ledger is unreachable. */
  allowanceTokens: number;
  /** The backend that most likely has the prompt of the previous turns cached. */
  lastBackend?: string;
  /** The only version at which the stream of the call may run. */
  streamVersion?: VersionKey;
}
