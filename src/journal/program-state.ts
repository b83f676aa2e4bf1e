/** The state that the journal keeps of programs and their calls. */
import type { ChatMessage } from '../common/index.js';

/** Bounds on what one program may do. */
export interface ProgramLimits {
  /** Calls that the program may make. */
  maxCalls: number;
  /** How deep sub-agents may nest below the root. */
  maxDepth: number;
  /** Equal calls in a row after which the program counts as looping. */
  maxRepeatedCalls: number;
  /** Journal time without a call after which the program is ended, in milliseconds. */
  idleTimeoutMs: number;
}

export type ProgramStatus = 'open' | 'ended';

export type EndReason = 'ended-by-caller' | 'parent-ended' | 'deadline' | 'idle';

/** The gateway that carries out an attempt. */
export interface GatewayIdentity {
  id: string;
  /** Differs between two runs of the same gateway. */
  incarnation: string;
}

export type CallKind = 'model' | 'service';

/** How a settled call ended. `unknown`: it may have run, and nobody can tell any more. */
export type CallOutcome = 'completed' | 'unknown';

/** What a call needs to run again or to be continued by another gateway. */
export interface CallRequest {
  kind: CallKind;
  /** Messages that this call adds to the program's history; empty for service calls. */
  messages: ChatMessage[];
  /** Upper bound of generated tokens; 0 for service calls. */
  maxOutputTokens: number;
  /** Whether running the call twice does no harm. */
  isRepeatable: boolean;
  /** Service name and encoded payload, for service calls. */
  service?: { name: string; operation: string; payload: string };
}

/** One run of a call on one back end. */
export interface CallAttempt {
  attempt: number;
  /** Random, chosen by the gateway: recognises its own begin when the answer was lost. */
  token: string;
  gateway: GatewayIdentity;
  backend: string;
  /** Cost ceiling held back from the budget, in tokens. */
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
  /** Whether an attempt before the current one may have run. */
  mayHaveRun: boolean;
  settled?: SettledCall;
}

export interface ProgramRecord {
  id: string;
  tenant: string;
  parent?: string;
  model: string;
  status: ProgramStatus;
  endReason?: EndReason;
  /** Tokens that the program and all below it may spend. */
  budget: number;
  spent: number;
  /** Sum of the reservations of calls under way, here and below. */
  reserved: number;
  limits: ProgramLimits;
  /** Journal time at which the program is ended, in milliseconds. */
  deadlineAtMs: number;
  lastActivityMs: number;
  endedAtMs?: number;
  /** The highest sequence number whose call is settled. */
  lastSettled: number;
  calls: CallRecord[];
  /** For each sequence number: submissions up to this one will never run. */
  refused: Record<string, number>;
  /** Tokens of the whole history so far: the prompt of the next call without its own messages. */
  historyTokens: number;
  /** Equal calls in a row so far, and their hash. */
  repeatedCalls: number;
  lastRequestHash: string;
  /** Back ends that may hold memory for this program. */
  backends: string[];
  children: string[];
}

export function callOf(program: ProgramRecord, sequence: number): CallRecord | undefined {
  // Calls are kept in order without gaps, beginning with sequence number 1.
  return program.calls[sequence - 1];
}

/** The call under way, if there is one. */
export function runningCall(program: ProgramRecord): CallRecord | undefined {
  const last = program.calls.at(-1);
  return last && !last.settled ? last : undefined;
}
