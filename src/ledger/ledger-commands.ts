/** Commands of the replicated ledger of program budgets and kept turns. */
import type { TurnPlacement } from './program-placements.js';

/** Sets the most tokens of a turn aside before any of them can reach the caller. */
export interface ReserveCommand {
  kind: 'reserve';
  program: string;
  /** Id of the call attempt; a repeated reservation of the same attempt changes nothing. */
  attempt: string;
  /** Tokens that all turns of the program may generate; absent when the program has no budget. */
  budgetTokens?: number;
  /** Most tokens that this turn generates. */
  mostTokens: number;
  /** Id of the turn that this one continues. */
  previousTurn?: string;
  /** One start of a gateway, which may be granted an allowance. */
  holder?: string;
  /** The line of turns that this one belongs to. */
  session?: string;
  /** Settlements of turns that are over; they count before the reservation does. */
  settlements?: Settlement[];
  /** The leader's clock, in milliseconds. */
  nowMs: number;
}

/** Tokens that a turn took from its gateway's allowance. */
export interface AllowanceDraw {
  holder: string;
  tokens: number;
}

/** A turn that later turns may continue. */
export interface KeptTurn {
  previousTurn?: string;
  /** The new input of this turn. */
  input: Uint8Array;
  /** The data of its events, each with a line feed after it. */
  output: Uint8Array;
  retentionMs: number;
}

/** A kept turn as the log names it; its input and output are with every member that holds the entry. */
export interface KeptTurnReference {
  previousTurn?: string;
  retentionMs: number;
}

/** Replaces a reservation by what was really passed on, and keeps the turn if it is to be kept. */
export interface Settlement {
  program: string;
  /** Id of the call attempt; a repeated settlement of the same attempt changes nothing. */
  attempt: string;
  spentTokens: number;
  keep?: KeptTurn | KeptTurnReference;
  draw?: AllowanceDraw;
  /** Where the turn ran; absent when it was not answered. */
  placement?: TurnPlacement;
}

export interface SettleCommand {
  kind: 'settle';
  settlements: Settlement[];
  nowMs: number;
}

/** Whether a kept turn comes with its input and output, and not by name only. */
export function hasInlineValue(keep: KeptTurn | KeptTurnReference): keep is KeptTurn {
  return 'input' in keep;
}

export type LedgerCommand = ReserveCommand | SettleCommand;

export type ReserveOutcome = 'granted' | 'budget-exhausted' | 'unknown-predecessor';

export interface ReserveResult {
  outcome: ReserveOutcome;
  /** Tokens that the holder may let the program spend while the ledger can't be reached. */
  allowanceTokens: number;
  /** The back end that most likely holds the prompt of the turns before. */
  lastBackend?: string;
}
