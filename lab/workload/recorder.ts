/** What callers saw, kept for the tables and for the checker. */
import type { GatewayAnswer } from '../../src/client/index.js';

export type ObservedOutcome = 'completed' | 'not_run' | 'unknown' | 'pending';

export interface ObservedCall {
  program: string;
  tenant: string;
  sequence: number;
  kind: 'model' | 'service';
  isRepeatable: boolean;
  service?: string;
  startedAtMs: number;
  endedAtMs: number;
  outcome: ObservedOutcome;
  /** Code of the problem, when there was one. */
  problemCode?: string;
  /** What a service call asked for. */
  payload?: string;
  /** The answer, when there was one. */
  answer?: string;
  /** Whether the answer is the one that follows from what the caller sent. */
  isCorrect: boolean;
  firstTokenMs?: number;
  usage?: GatewayAnswer['usage'];
  cost: number;
  /** Prompt tokens that were computed for the same program before. */
  knownPrefixTokens: number;
  exchanges: number;
}

export interface ObservedProgram {
  id: string;
  className: string;
  tenant: string;
  /** Wall-clock time at which it was meant to start, in milliseconds. */
  submittedAtMs: number;
  lastAnswerAtMs: number;
  endedAtMs: number;
  budget: number;
  isRoot: boolean;
  isComplete: boolean;
  /** Whether the system confirmed the program's end. */
  isEnded: boolean;
  /** Time spent in the program's own tools, which no scheduler can shorten. */
  pausedMs: number;
}

export class WorkloadRecorder {
  readonly calls: ObservedCall[] = [];
  readonly programs: ObservedProgram[] = [];

  recordCall(call: ObservedCall): void {
    this.calls.push(call);
  }

  recordProgram(program: ObservedProgram): void {
    this.programs.push(program);
  }
}
