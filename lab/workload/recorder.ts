/** Observations of callers, input of the reports and the checker. */
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
  /** Problem code of a failed call. */
  problemCode?: string;
  /** Payload of a service call. */
  payload?: string;
  /** Content of the answer of a completed call. */
  answer?: string;
  /** False if the answer differs from the expected one. */
  isCorrect: boolean;
  firstTokenMs?: number;
  usage?: GatewayAnswer['usage'];
  cost: number;
  /** Prompt tokens already computed for earlier calls of the program. */
  knownPrefixTokens: number;
  exchanges: number;
}

export interface ObservedProgram {
  id: string;
  className: string;
  tenant: string;
  /** Wall-clock time of the intended start, in milliseconds. */
  submittedAtMs: number;
  lastAnswerAtMs: number;
  endedAtMs: number;
  budget: number;
  isRoot: boolean;
  isComplete: boolean;
  /** Whether the system confirmed the program's end. */
  isEnded: boolean;
  /** Time spent waiting for tools outside of the system, in milliseconds. */
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
