/** Records of programs and their calls in the journal. */
import type { ChatMessage } from '../common/index.js';

/** Limits of one program. */
export interface ProgramLimits {
  /** Maximum number of calls. */
  maxCalls: number;
  /** Maximum nesting depth of sub-agents below the root. */
  maxDepth: number;
  /** Number of consecutive identical calls after which the program counts as looping. */
  maxRepeatedCalls: number;
  /** Journal time without calls after which the program is ended, in milliseconds. */
  idleTimeoutMs: number;
}

export type ProgramStatus = 'open' | 'ended';

export type EndReason = 'ended-by-caller' | 'parent-ended' | 'deadline' | 'idle';

/** The gateway that executes an attempt. */
export interface GatewayIdentity {
  id: string;
  /** Changes with each restart of the gateway. */
  incarnation: string;
}

export type CallKind = 'model' | 'service';

/** Outcome of a settled call. `unknown`: whether it ran cannot be determined. */
export type CallOutcome = 'completed' | 'unknown';

/** Request of a call, sufficient to repeat it or to continue it on another gateway. */
export interface CallRequest {
  kind: CallKind;
  /** Messages that the call adds to the program's history; empty for service calls. */
  messages: ChatMessage[];
  /** Maximum number of generated tokens; 0 for service calls. */
  maxOutputTokens: number;
  /** Whether the call may safely run more than once. */
  isRepeatable: boolean;
  /** Target and payload of a service call. */
  service?: { name: string; operation: string; payload: string };
}

/** One execution of a call on one backend. */
export interface CallAttempt {
  attempt: number;
  /** Random token of the gateway, by which a retried begin is recognized. */
  token: string;
  gateway: GatewayIdentity;
  backend: string;
  /** Maximum cost, reserved from the budget, in tokens. */
  reservation: number;
}

export interface SettledCall {
  outcome: CallOutcome;
  /** The complete answer, or the reason why there is none. */
  answer: string;
  /** Cost charged for the attempt that settled the call, in tokens. */
  cost: number;
  finishReason: string;
}

export interface CallRecord {
  sequence: number;
  submission: number;
  requestHash: string;
  request: CallRequest;
  current: CallAttempt;
  /** Whether an earlier attempt may have run. */
  mayHaveRun: boolean;
  /** Number of earlier attempts that were lost and may have run; their backends may have ended under the call. @default 0 */
  lostAttempts?: number;
  settled?: SettledCall;
}

export interface ProgramRecord {
  id: string;
  tenant: string;
  parent?: string;
  model: string;
  status: ProgramStatus;
  endReason?: EndReason;
  /** Tokens that the program and its descendants may spend. */
  budget: number;
  spent: number;
  /** Sum of the reservations of running calls of the program and its descendants. */
  reserved: number;
  limits: ProgramLimits;
  /** Journal time at which the program is ended, in milliseconds. */
  deadlineAtMs: number;
  lastActivityMs: number;
  endedAtMs?: number;
  /** Highest sequence number of a settled call. */
  lastSettled: number;
  calls: CallRecord[];
  /** By sequence number: the highest submission that was refused permanently. */
  refused: Record<string, number>;
  /** Tokens of the history: the prompt of the next call without its own messages. */
  historyTokens: number;
  /** Number of consecutive identical calls so far. */
  repeatedCalls: number;
  lastRequestHash: string;
  /** Backends that may hold memory for this program. */
  backends: string[];
  children: string[];
}

export function callOf(program: ProgramRecord, sequence: number): CallRecord | undefined {
  // Calls are stored in order without gaps, starting with sequence number 1.
  return program.calls[sequence - 1];
}

/** Returns the running call, if any. */
export function runningCall(program: ProgramRecord): CallRecord | undefined {
  const last = program.calls.at(-1);
  return last && !last.settled ? last : undefined;
}
