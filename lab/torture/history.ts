/**
 * The observations of callers, backends and operators during one torture seed: the only input of
 * the checker. All times are wall-clock milliseconds of one machine.
 */
import type { ArrivalRecord } from '../../emulator/engine/engine-server.js';
import type { ExecutionRecord } from '../../emulator/model/engine-model.js';
import type { ServiceExecution as ServiceRecord } from '../../emulator/service/service-server.js';
import type { ObservedCall, ObservedProgram } from '../workload/recorder.js';
import type { Violation } from './checker/invariant.js';

/** A request of a caller to a gateway for one submission of a call, and its result. */
export interface ObservedExchange {
  program: string;
  sequence: number;
  submission: number;
  /** Position of the gateway in the fleet's list. */
  gateway: string;
  startedAtMs: number;
  endedAtMs: number;
  kind: 'answer' | 'not_run' | 'unknown' | 'pending' | 'broken';
}

/** A request that reached an engine. */
export interface EngineArrival extends ArrivalRecord {
  engine: string;
}

/** A request that an engine finished or aborted. */
export interface EngineExecution extends Omit<ExecutionRecord, 'model' | 'cachedTokens'> {
  engine: string;
  wallClockMs: number;
}

/** A request that a service executed. */
export type ServiceExecution = Pick<ServiceRecord, 'key' | 'payload' | 'wallClockMs'>;

/** A payload that was rejected with the outcome `not_run`. */
export interface RefusedPayload {
  payload: string;
  code: string;
}

/** A call that was sent through several gateways concurrently. */
export interface CopiedCall {
  program: string;
  sequence: number;
  payload: string;
  isRepeatable: boolean;
  answers: string[];
}

/** A recorded answer that was read again. */
export interface RepeatedRead {
  program: string;
  sequence: number;
  firstAnswer: string;
  laterAnswer: string;
}

/** Responses to another tenant for an existing program and for a nonexistent one. */
export interface ForeignRead {
  program: string;
  answer: string;
  answerForNoProgram: string;
}

/** Reported spending of a root program including its descendants. */
export interface SpendingReport {
  program: string;
  budget: number;
  spent: number;
}

/** A backend that operators drain. */
export interface Leaving {
  engine: string;
  acceptedAtMs: number;
  /** When the observation ended or the backend became active again. */
  untilMs: number;
}

export interface PlannedStop {
  process: string;
  kind: string;
  /** For a gateway: the address that callers use. */
  address?: string;
  signalledAtMs: number;
  exitedAtMs: number;
  exitCode: number | null;
}

export type ConfirmOutcome = 'accepted' | 'refused' | 'no-answer';

/** An attempt of an operator to confirm a plan; a retry has the same request id. */
export interface ObservedConfirm {
  requestId: string;
  planId: string;
  baseRevision: number;
  contentHash: string;
  outcome: ConfirmOutcome;
  /** Revision and content hash of the response if the plan was accepted. */
  revision?: number;
  revisionContentHash?: string;
  answeredAtMs: number;
}

/** The revision that a gateway reported as active. */
export interface RevisionSighting {
  gateway: string;
  revision: number;
  atMs: number;
}

/** The time until a revision was in effect at all reachable gateways. */
export interface InForceObservation {
  revision: number;
  /** Undefined if the revision did not take effect within the timeout. */
  afterMs: number | undefined;
}

/** An entry of the configuration history, read at the end of the seed. */
export interface FinalRevision {
  revision: number;
  planId: string;
  contentHash: string;
}

/** Ended programs for which an engine still held memory or ran requests. */
export interface MemoryObservation {
  engine: string;
  /** Number of ended programs that were checked. */
  endedPrograms: number;
  remaining: string[];
}

export interface TortureHistory {
  seed: number;
  calls: ObservedCall[];
  programs: ObservedProgram[];
  exchanges: ObservedExchange[];
  arrivals: EngineArrival[];
  executions: EngineExecution[];
  serviceExecutions: ServiceExecution[];
  refusedPayloads: RefusedPayload[];
  copiedCalls: CopiedCall[];
  repeatedReads: RepeatedRead[];
  foreignReads: ForeignRead[];
  spending: SpendingReport[];
  leavings: Leaving[];
  plannedStops: PlannedStop[];
  confirms: ObservedConfirm[];
  sightings: RevisionSighting[];
  inForce: InForceObservation[];
  finalRevisions: FinalRevision[];
  memory: MemoryObservation[];
  /** Violations that a fault observed directly. */
  directViolations: Violation[];
}

export function emptyHistory(seed: number): TortureHistory {
  return {
    seed,
    calls: [],
    programs: [],
    exchanges: [],
    arrivals: [],
    executions: [],
    serviceExecutions: [],
    refusedPayloads: [],
    copiedCalls: [],
    repeatedReads: [],
    foreignReads: [],
    spending: [],
    leavings: [],
    plannedStops: [],
    confirms: [],
    sightings: [],
    inForce: [],
    finalRevisions: [],
    memory: [],
    directViolations: [],
  };
}
