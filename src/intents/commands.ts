/** Commands and queries of the intents group. */
import type { IntentChange, IntentDocument } from './document.js';
import type { PartialDocument } from './partial-document.js';

/** Request of an operator, with the whole desired document. */
export interface PlanCommand {
  type: 'plan';
  operator: string;
  document: IntentDocument;
}

/** Request of an operator, with only the desired changes. */
export interface PartialPlanCommand {
  type: 'partial-plan';
  operator: string;
  partial: PartialDocument;
}

/** Replicated form of a plan: only the differences from the leader's current document. */
export interface PreparedPlanCommand {
  type: 'prepared-plan';
  plan: Plan;
}

/** Replicated in place of a plan whose document would be inconsistent. */
export interface RefusedPlanCommand {
  type: 'refused-plan';
  problems: string[];
}

export interface ConfirmCommand {
  type: 'confirm';
  operator: string;
  planId: string;
  /** Idempotency key, chosen by the operator's tool; a repeated request gets the first result. */
  requestId: string;
}

export type IntentCommand = PlanCommand | PartialPlanCommand | ConfirmCommand;
export type ReplicatedIntentCommand = PreparedPlanCommand | RefusedPlanCommand | ConfirmCommand;

export interface Plan {
  id: string;
  operator: string;
  /** Revision that the plan is based on; the plan can be confirmed only while it is current. */
  baseRevision: number;
  contentHash: string;
  changes: IntentChange[];
}

/** An accepted change of the configuration. */
export interface Revision {
  revision: number;
  planId: string;
  contentHash: string;
  operator: string;
  changes: IntentChange[];
}

export type PlanResult =
  | { status: 'planned'; plan: Plan }
  /** The resulting document is inconsistent. */
  | { status: 'inconsistent'; problems: string[] };

export type ConfirmResult =
  | { status: 'accepted'; revision: Revision }
  /** Another plan was confirmed after this one was made. */
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

/** Brings a process from its revision to the current one. */
export type ConfigurationUpdate =
  | { kind: 'none' }
  | { kind: 'changes'; revision: number; changes: IntentChange[] }
  /** The process lags too far: it must fetch the whole document of this or a later revision. */
  | { kind: 'fetch'; revision: number };
