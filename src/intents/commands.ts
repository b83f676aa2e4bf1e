/** Commands and queries of the intents group. */
import type { IntentChange, IntentDocument } from './document.js';
import type { PartialDocument } from './partial-document.js';

/** What an operator sends: the whole document as it shall be. */
export interface PlanCommand {
  type: 'plan';
  operator: string;
  document: IntentDocument;
}

/** The same for operators who send only what shall differ. */
export interface PartialPlanCommand {
  type: 'partial-plan';
  operator: string;
  partial: PartialDocument;
}

/** What is replicated of it: only what differs from the leader's current document. */
export interface PreparedPlanCommand {
  type: 'prepared-plan';
  plan: Plan;
}

/** Replicated in place of a plan whose document would not fit together. */
export interface RefusedPlanCommand {
  type: 'refused-plan';
  problems: string[];
}

export interface ConfirmCommand {
  type: 'confirm';
  operator: string;
  planId: string;
  /** Chosen by the operator's tool; a repeated request gets the first result. */
  requestId: string;
}

export type IntentCommand = PlanCommand | PartialPlanCommand | ConfirmCommand;
export type ReplicatedIntentCommand = PreparedPlanCommand | RefusedPlanCommand | ConfirmCommand;

export interface Plan {
  id: string;
  operator: string;
  /** The revision that the plan starts from; it can be confirmed only while this is current. */
  baseRevision: number;
  contentHash: string;
  changes: IntentChange[];
}

/** One accepted change of the configuration. */
export interface Revision {
  revision: number;
  planId: string;
  contentHash: string;
  operator: string;
  changes: IntentChange[];
}

export type PlanResult =
  | { status: 'planned'; plan: Plan }
  /** The document that the plan leads to does not fit together. */
  | { status: 'inconsistent'; problems: string[] };

export type ConfirmResult =
  | { status: 'accepted'; revision: Revision }
  /** Another plan was confirmed since this one was made. */
  | { status: 'stale'; current: Revision }
  | { status: 'unknown-plan' }
  /** The request id was used for another plan. */
  | { status: 'request-reused'; planId: string };

export type IntentQuery =
  { type: 'document' } | { type: 'plan'; planId: string } | { type: 'history'; limit: number };

export interface DocumentResponse {
  revision: number;
  contentHash: string;
  document: IntentDocument;
}

/** How a process gets from its revision to the current one. */
export type ConfigurationUpdate =
  | { kind: 'none' }
  | { kind: 'changes'; revision: number; changes: IntentChange[] }
  /** Too much is missing: fetch the whole document of this or a later revision. */
  | { kind: 'fetch'; revision: number };
