/**
 * What callers, back ends and operators saw of one torture seed. The checker knows nothing else.
 * All times are wall-clock milliseconds of the one machine that everything runs on.
 */
import type { ArrivalRecord } from '../../emulator/engine/engine-server.js';
import type { ExecutionRecord } from '../../emulator/model/engine-model.js';
import type { ServiceExecution as ServiceRecord } from '../../emulator/service/service-server.js';
import type { ObservedCall, ObservedProgram } from '../workload/recorder.js';
import type { Violation } from './checker/invariant.js';

/** One exchange of a caller with one gateway about one submission of a call. */
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

/** A request that an engine finished or stopped. */
export interface EngineExecution extends Omit<ExecutionRecord, 'model' | 'cachedTokens'> {
  engine: string;
  wallClockMs: number;
}

/** A request that a service executed. */
export type ServiceExecution = Pick<ServiceRecord, 'key' | 'payload' | 'wallClockMs'>;

/** A payload that a caller was told has not run. */
export interface RefusedPayload {
  payload: string;
  code: string;
}

/** A call whose copies were sent through several gateways at once. */
export interface CopiedCall {
  program: string;
  sequence: number;
  payload: string;
  isRepeatable: boolean;
  answers: string[];
}

/** A recorded answer that was fetched again. */
export interface RepeatedRead {
  program: string;
  sequence: number;
  firstAnswer: string;
  laterAnswer: string;
}

/** What another tenant's key was answered about a program, and about one that does not exist. */
export interface ForeignRead {
  program: string;
  answer: string;
  answerForNoProgram: string;
}

/** What the system says that a root program and all below it spent. */
export interface SpendingReport {
  program: string;
  budget: number;
  spent: number;
}

/** A back end that operators told to take no new work. */
export interface Leaving {
  engine: string;
  acceptedAtMs: number;
  /** When the observation ended, or the back end was made active again. */
  untilMs: number;
}

export interface PlannedStop {
  process: string;
  kind: string;
  /** For a gateway: its callers' address. */
  address?: string;
  signalledAtMs: number;
  exitedAtMs: number;
  exitCode: number | null;
}

export type ConfirmOutcome = 'accepted' | 'refused' | 'no-answer';

/** One operator's attempt to confirm a plan; a resend repeats the request id. */
export interface ObservedConfirm {
  requestId: string;
  planId: string;
  baseRevision: number;
  contentHash: string;
  outcome: ConfirmOutcome;
  /** Revision and content named by the answer, when it was accepted. */
  revision?: number;
  revisionContentHash?: string;
  answeredAtMs: number;
}

/** The revision that a gateway said it acts on. */
export interface RevisionSighting {
  gateway: string;
  revision: number;
  atMs: number;
}

/** How long it took until a revision was in force at all reachable gateways. */
export interface InForceObservation {
  revision: number;
  /** Undefined: not in time. */
  afterMs: number | undefined;
}

/** The configuration's history as read at the end. */
export interface FinalRevision {
  revision: number;
  planId: string;
  contentHash: string;
}

/** Programs for which an engine still held memory or ran work, long after they ended. */
export interface MemoryObservation {
  engine: string;
  /** Ended programs that were looked for. */
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
  /** Promises that the system broke in plain sight, seen by a fault itself. */
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
