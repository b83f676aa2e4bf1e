/** Replicated state machine for intents: plans, confirmed revisions and results of requests. */
import { LRUCache } from 'lru-cache';
import { sha256Hex } from '../common/index.js';
import type { StateMachine } from '../consensus/index.js';
import { decodeValue, encodeValue } from '../wire/index.js';
import type {
  ConfigurationUpdate,
  ConfirmCommand,
  ConfirmResult,
  DocumentResponse,
  IntentCommand,
  IntentQuery,
  PartialPlanCommand,
  Plan,
  PlanCommand,
  PlanResult,
  ReplicatedIntentCommand,
  Revision,
} from './commands.js';
import { changesFromPartial } from './partial-document.js';
import {
  EMPTY_DOCUMENT,
  type IntentChange,
  type IntentDocument,
  applyChanges,
  contentHash,
  diffDocuments,
  findInconsistencies,
  normalizeDocument,
} from './document.js';

const MAX_PLANS = 256;
const MAX_REQUEST_RESULTS = 10_000;
/** Revisions retained as deltas; a process that lags further gets the whole document. */
const MAX_REVISIONS = 1_024;
const PLAN_ID_DIGITS = 16;

interface EncodedIntents {
  document: IntentDocument;
  revisions: Revision[];
  plans: Plan[];
  requests: [string, RequestResult][];
}

interface RequestResult {
  planId: string;
  result: ConfirmResult;
}

export class IntentStateMachine implements StateMachine {
  private currentDocument: IntentDocument = EMPTY_DOCUMENT;
  private revisions: Revision[] = [];
  private readonly plans = new LRUCache<string, Plan>({ max: MAX_PLANS });
  private readonly requests = new LRUCache<string, RequestResult>({
    max: MAX_REQUEST_RESULTS,
  });

  /** @param onRevision called after each new revision and after restoring a snapshot */
  constructor(private readonly onRevision: () => void = () => undefined) {}

  get revision(): number {
    return this.revisions.at(-1)?.revision ?? 0;
  }

  get document(): IntentDocument {
    return this.currentDocument;
  }

  /**
   * Computes, on the leader, the command to replicate. A plan is bound to the revision that it was computed from, and
   * is stale once another plan is confirmed.
   */
  prepare(command: IntentCommand): ReplicatedIntentCommand {
    if (command.type === 'confirm') return command;
    const { document, changes } = this.resolve(command);
    const problems = findInconsistencies(document);
    if (problems.length > 0) return { type: 'refused-plan', problems };
    const hash = contentHash(document);
    const baseRevision = this.revision;
    const id = sha256Hex(`${baseRevision}|${hash}`).slice(0, PLAN_ID_DIGITS);
    const plan = { id, operator: command.operator, baseRevision, contentHash: hash, changes };
    return { type: 'prepared-plan', plan };
  }

  apply(encoded: Uint8Array): PlanResult | ConfirmResult {
    const command = decodeValue<ReplicatedIntentCommand>(encoded);
    switch (command.type) {
      case 'confirm':
        return this.applyConfirm(command);
      case 'prepared-plan':
        return this.applyPlan(command.plan);
      case 'refused-plan':
        return { status: 'inconsistent', problems: command.problems };
    }
  }

  snapshot(): Iterable<Uint8Array> {
    const state: EncodedIntents = {
      document: this.currentDocument,
      revisions: this.revisions,
      plans: this.plans
        .dump()
        .map(([, entry]) => entry.value)
        .reverse(),
      requests: this.requests
        .dump()
        .map(([id, entry]): [string, RequestResult] => [id, entry.value])
        .reverse(),
    };
    return [encodeValue(state)];
  }

  restore(bytes: Uint8Array): void {
    const state = decodeValue<EncodedIntents>(bytes);
    this.currentDocument = state.document;
    this.revisions = state.revisions;
    this.plans.clear();
    for (const plan of state.plans) this.plans.set(plan.id, plan);
    this.requests.clear();
    for (const [id, request] of state.requests) this.requests.set(id, request);
    this.onRevision();
  }

  answer(query: IntentQuery): DocumentResponse | Plan | Revision[] | undefined {
    switch (query.type) {
      case 'document':
        return {
          revision: this.revision,
          contentHash: contentHash(this.currentDocument),
          document: this.currentDocument,
        };
      case 'plan':
        return this.plans.peek(query.planId);
      case 'history':
        return this.revisions.slice(-query.limit);
    }
  }

  /** The update that brings a process from `knownRevision` to the current revision. */
  updateFrom(knownRevision: number): ConfigurationUpdate {
    // A gateway may have fetched a later revision from another member.
    if (knownRevision >= this.revision) return { kind: 'none' };
    const missing = this.revisions.filter((entry) => entry.revision > knownRevision);
    const isGapless = missing[0]?.revision === knownRevision + 1;
    const { revision } = this;
    if (!isGapless || knownRevision === 0) {
      return { kind: 'fetch', revision };
    }
    return { kind: 'changes', revision, changes: missing.flatMap((entry) => entry.changes) };
  }

  private resolve(command: PlanCommand | PartialPlanCommand): {
    document: IntentDocument;
    changes: IntentChange[];
  } {
    if (command.type === 'partial-plan') {
      const changes = changesFromPartial(command.partial, this.currentDocument);
      return { document: applyChanges(this.currentDocument, changes), changes };
    }
    const document = normalizeDocument(command.document);
    return { document, changes: diffDocuments(this.currentDocument, document) };
  }

  private applyPlan(plan: Plan): PlanResult {
    const known = this.plans.peek(plan.id);
    if (!known) this.plans.set(plan.id, plan);
    return { status: 'planned', plan: known ?? plan };
  }

  private applyConfirm(command: ConfirmCommand): ConfirmResult {
    const previous = this.requests.peek(command.requestId);
    if (previous) {
      if (previous.planId === command.planId) return previous.result;
      return { status: 'request-reused', planId: previous.planId };
    }
    const result = this.confirm(command);
    this.requests.set(command.requestId, { planId: command.planId, result });
    return result;
  }

  private confirm(command: ConfirmCommand): ConfirmResult {
    const plan = this.plans.peek(command.planId);
    if (!plan) return { status: 'unknown-plan' };
    const current = this.revisions.at(-1);
    if (current?.planId === plan.id) return { status: 'accepted', revision: current };
    if (current && plan.baseRevision !== current.revision) return { status: 'stale', current };
    const revision: Revision = {
      revision: this.revision + 1,
      planId: plan.id,
      contentHash: plan.contentHash,
      operator: command.operator,
      changes: plan.changes,
    };
    this.currentDocument = applyChanges(this.currentDocument, plan.changes);
    this.revisions.push(revision);
    if (this.revisions.length > MAX_REVISIONS) this.revisions.shift();
    this.onRevision();
    return { status: 'accepted', revision };
  }
}
