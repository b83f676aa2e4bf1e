/** Messages between gateways and the directory's leader about requests under which back ends end. */
import type { LeaderAnswer } from '../consensus/index.js';
import { defineMethod } from '../wire/index.js';
import type { CrashRecord, PermitDecision, SendOutcome } from './crash-table.js';
import type { RequestKey } from './request-key.js';

/** Version of the leader's table; counts of different leaders are not comparable, so it includes the leader's term. */
export interface CrashVersion {
  /** Term of the leader; 0 for none. */
  term: number;
  count: number;
}

export const INITIAL_CRASH_VERSION: CrashVersion = { term: 0, count: 0 };

/** Whether a version is that of a later leader, or a later one of the same leader. */
export function isLater(version: CrashVersion, than: CrashVersion): boolean {
  return version.term > than.term || (version.term === than.term && version.count > than.count);
}

/** A request and the ids of the back ends that ended under it. */
export interface SuspectView {
  key: RequestKey;
  backends: string[];
}

/** Difference between two versions of the leader's table. */
export interface CrashView {
  version: CrashVersion;
  /** Count of the same leader that the difference applies to; absent if `suspects` is the whole table. */
  afterCount?: number;
  suspects: SuspectView[];
  /** Requests of which nothing is known any more. */
  removed: RequestKey[];
}

export interface ReportedLoss {
  key: RequestKey;
  backend: string;
  /** Time since the request was sent, in milliseconds. */
  sentMsAgo: number;
  /** Whether unrelated callers may send equal requests. */
  mayBeShared: boolean;
  /** Permit of the send, if it had one. */
  permit?: number;
}

export interface LossReport {
  losses: ReportedLoss[];
}

export interface LossReportAnswer {
  /** Version of the table that includes the losses. */
  version: CrashVersion;
}

/**
 * Asks the leader to answer once all gateways know what it has counted under a request, or after a time limit: its caller is
 * about to be told of a failure, and may send it to another gateway at once.
 */
export interface ConfirmationRequest {
  key: RequestKey;
}

export interface SendPermitRequest {
  key: RequestKey;
  gateway: string;
  candidates: string[];
  /** Time in which the send ends at the latest, in milliseconds. */
  expiresInMs: number;
  /** Time for which the leader waits for another send of the request to end, in milliseconds. */
  waitMs: number;
  /** Term of the table that the gateway holds, and the ends that it knows of: a new leader may not know them yet. */
  knownTerm: number;
  knownEnds: string[];
}

export interface OutcomeReport {
  key: RequestKey;
  outcome: SendOutcome;
  permit?: number;
}

/** A back end answered a request that was sent after its gateway had learnt of the losses named here. */
export interface AliveReport {
  backend: string;
  keys: RequestKey[];
  /** Time since that request was sent, in milliseconds. */
  sentMsAgo: number;
}

export interface OutcomeAnswer {
  isNoted: true;
}

export interface CrashListAnswer {
  requests: CrashRecord[];
}

export interface CrashRemovalAnswer {
  wasKnown: boolean;
}

export const REPORT_LOSSES = defineMethod<LossReport, LeaderAnswer<LossReportAnswer>>(
  'crash-guard.report-losses',
);
export const CONFIRM_LOSSES = defineMethod<ConfirmationRequest, LeaderAnswer<OutcomeAnswer>>(
  'crash-guard.confirm-losses',
);
export const REQUEST_SEND = defineMethod<SendPermitRequest, LeaderAnswer<PermitDecision>>(
  'crash-guard.request-send',
);
export const REPORT_OUTCOME = defineMethod<OutcomeReport, LeaderAnswer<OutcomeAnswer>>(
  'crash-guard.report-outcome',
);
export const REPORT_ALIVE = defineMethod<AliveReport, LeaderAnswer<OutcomeAnswer>>(
  'crash-guard.report-alive',
);
export const LIST_CRASHES = defineMethod<Record<string, never>, LeaderAnswer<CrashListAnswer>>(
  'crash-guard.list',
);
export const REMOVE_CRASHES = defineMethod<{ key: RequestKey }, LeaderAnswer<CrashRemovalAnswer>>(
  'crash-guard.remove',
);
