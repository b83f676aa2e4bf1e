/** Commands and queries of the journal and their results. */
import type {
  CallOutcome,
  CallRecord,
  CallRequest,
  EndReason,
  GatewayIdentity,
  ProgramLimits,
  ProgramRecord,
} from './program-state.js';

/** Common fields of commands that address a program of a tenant. */
interface ProgramCommand {
  programId: string;
  tenant: string;
}

export interface OpenCommand extends ProgramCommand {
  type: 'open';
  parent?: string;
  model: string;
  budget: number;
  deadlineMs: number;
  limits: ProgramLimits;
}

/** Records that an attempt is about to be sent to a backend. */
export interface BeginCommand extends ProgramCommand {
  type: 'begin';
  sequence: number;
  submission: number;
  requestHash: string;
  request: CallRequest;
  token: string;
  gateway: GatewayIdentity;
  backend: string;
  /** Maximum cost of a service call; for model calls the journal computes it. */
  serviceCost: number;
}

/** Starts another attempt of a repeatable call whose attempt `fromAttempt` was lost. */
export interface RestartCommand extends ProgramCommand {
  type: 'restart';
  sequence: number;
  fromAttempt: number;
  /** Token of the lost attempt, if its own gateway knows that no backend accepted it. */
  neverRanToken?: string;
  token: string;
  gateway: GatewayIdentity;
  backend: string;
}

export interface FinishCommand extends ProgramCommand {
  type: 'finish';
  sequence: number;
  attempt: number;
  outcome: CallOutcome;
  answer: string;
  cost: number;
  finishReason: string;
  /** Backends that this gateway used for the call. */
  backends: string[];
}

/** Withdraws an attempt that was certainly not sent, and refuses its submission permanently. */
export interface WithdrawCommand extends ProgramCommand {
  type: 'withdraw';
  sequence: number;
  attempt: number;
  token: string;
  reason: RefusalReason;
}

/** Refuses a submission permanently. */
export interface RefuseCommand extends ProgramCommand {
  type: 'refuse';
  sequence: number;
  submission: number;
  reason: RefusalReason;
}

export interface EndCommand extends ProgramCommand {
  type: 'end';
  reason: EndReason;
}

/** Records that a backend confirmed the release of an ended program's memory. */
export interface ReleasedCommand {
  type: 'released';
  programId: string;
  backend: string;
}

/** Ends expired and idle programs, and removes programs whose retention is over. */
export interface SweepCommand {
  type: 'sweep';
}

export type JournalCommand =
  | OpenCommand
  | BeginCommand
  | RestartCommand
  | FinishCommand
  | WithdrawCommand
  | RefuseCommand
  | EndCommand
  | ReleasedCommand
  | SweepCommand;

/** A replicated command with the journal time that the leader assigned. */
export interface TimestampedCommand {
  /** Journal time in milliseconds: monotonic and unrelated to wall-clock time. */
  atMs: number;
  command: JournalCommand;
}

export type RefusalReason =
  | 'budget-exhausted'
  | 'out-of-order'
  | 'call-in-progress'
  | 'program-ended'
  | 'call-limit'
  | 'depth-limit'
  | 'looping'
  | 'overloaded'
  | 'no-backend'
  | 'no-lease'
  | 'backend-refused'
  | 'shutting-down'
  | 'parent-unavailable'
  | 'refused-before';

export interface UnknownProgramResult {
  status: 'unknown-program';
}

export interface RefusedResult {
  status: 'refused';
  reason: RefusalReason;
  /** Whether a new submission of the call may succeed. */
  canSendAgain: boolean;
}

/** A different request is recorded under this sequence number. */
export interface ConflictResult {
  status: 'conflict';
}

/** The call is running. */
export interface RunningResult {
  status: 'running';
  call: CallRecord;
}

export interface SettledResult {
  status: 'settled';
  call: CallRecord;
}

export interface BegunResult {
  status: 'begun';
  call: CallRecord;
  model: string;
  /** Prompt tokens including this call's messages. */
  promptTokens: number;
  /** Tokens spent by all programs under the same root, for scheduling. */
  attainedService: number;
  /** Backend that served the previous model call. */
  previousBackend?: string;
}

export interface OpenedResult {
  status: 'opened';
  program: ProgramSummary;
}

export interface EndedResult {
  status: 'ended';
}

export type OpenResult = OpenedResult | RefusedResult | ConflictResult;
export type BeginResult =
  | BegunResult
  | RunningResult
  | SettledResult
  | RefusedResult
  | ConflictResult
  | UnknownProgramResult;
export type RestartResult = BeginResult;
export type FinishResult = SettledResult | RunningResult | UnknownProgramResult | RefusedResult;
export type RefuseResult = RefusedResult | RunningResult | SettledResult | UnknownProgramResult;
export type EndResult = EndedResult | UnknownProgramResult;

/** A program without the contents of its calls. */
export type ProgramSummary = Omit<ProgramRecord, 'calls' | 'refused' | 'children'> & {
  callCount: number;
};

/** The part of a program's history that one call added. */
export interface HistoryTurn {
  sequence: number;
  messages: CallRequest['messages'];
  answer: string;
}

export type JournalQuery =
  | { type: 'program'; programId: string; tenant: string }
  | { type: 'call'; programId: string; tenant: string; sequence: number }
  | { type: 'history'; programId: string; tenant: string; afterSequence: number }
  /** Which of these programs have ended or are unknown. */
  | { type: 'ended-programs'; programIds: string[] }
  | { type: 'statistics' };

export type ProgramResponse = { status: 'found'; program: ProgramSummary } | UnknownProgramResult;
export type CallResponse =
  RunningResult | SettledResult | RefusedResult | { status: 'unknown-call' } | UnknownProgramResult;
export type HistoryResponse = { status: 'found'; turns: HistoryTurn[] } | UnknownProgramResult;

export interface EndedProgramsResponse {
  programIds: string[];
}

export interface JournalStatistics {
  programs: number;
  openPrograms: number;
  pendingReleases: number;
  calls: number;
}
