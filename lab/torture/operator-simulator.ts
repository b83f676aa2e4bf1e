/** Operators who race each other, lose answers, send again and confirm stale plans. */
import { randomUUID } from 'node:crypto';
import { request } from 'undici';
import { type SeededRandom, sleep } from '../../src/common/index.js';
import type { BackendIntent, IntentDocument, Plan, Revision } from '../../src/intents/index.js';
import type { Fleet } from '../fleet/fleet.js';
import type { ConfirmOutcome, Leaving } from './history.js';
import type { HistoryRecorder } from './history-recorder.js';
import type { RevisionWatcher } from './revision-watcher.js';

const TIMEOUT_MS = 1_500;
const PATIENCE_MS = 15_000;
const PAUSE_MS = 100;
const IN_FORCE_PATIENCE_MS = 8_000;
const HISTORY_LIMIT = 1_000;
const HTTP_SERVER_ERROR = 500;

interface Answer {
  status: number;
  body: unknown;
}

export interface OperatorSimulatorOptions {
  fleet: Fleet;
  random: SeededRandom;
  recorder: HistoryRecorder;
  watcher: RevisionWatcher;
}

export class OperatorSimulator {
  constructor(private readonly options: OperatorSimulatorOptions) {}

  /**
   * Two operators drain an engine each, planned upon the same revision and confirmed together.
   * @returns the engine that leaves, unless nobody got an answer
   */
  async confirmConcurrently(): Promise<Omit<Leaving, 'untilMs'> | undefined> {
    const { fleet, random } = this.options;
    const engines = fleet.ofKind('engine').map((engine) => engine.name);
    const first = random.pick(engines);
    const second = random.pick(engines.filter((engine) => engine !== first));
    const document = await this.readDocument();
    if (!document) return undefined;
    const plans = await Promise.all(
      [first, second].map((engine) => this.plan(withState(document, engine, 'draining'))),
    );
    const [firstPlan, secondPlan] = plans;
    if (!firstPlan || !secondPlan) return undefined;
    const revisions = await Promise.all(
      [firstPlan, secondPlan].map((plan) => this.confirmTwice(plan)),
    );
    const winner = revisions.findIndex((revision) => revision !== undefined);
    if (winner < 0) return undefined;
    const acceptedAtMs = Date.now();
    const loser = winner === 0 ? secondPlan : firstPlan;
    const stale = this.confirm(loser, randomUUID());
    const { watcher } = this.options;
    const { revision } = revisions[winner]!;
    await Promise.all([
      stale,
      watcher.waitUntilInEffect(revision, acceptedAtMs, IN_FORCE_PATIENCE_MS),
    ]);
    return { engine: winner === 0 ? first : second, acceptedAtMs };
  }

  /** Makes all back ends active again. */
  async activateAll(): Promise<void> {
    const document = await this.readDocument();
    if (!document || document.backends.every((backend) => backend.state === 'active')) return;
    const backends = document.backends.map((backend) => ({ ...backend, state: 'active' as const }));
    const plan = await this.plan({ ...document, backends });
    if (plan) await this.confirmTwice(plan);
  }

  async recordFinalRevisions(): Promise<void> {
    const answer = await this.persist('GET', `/v1/history?limit=${HISTORY_LIMIT}`, undefined);
    for (const { revision, planId, contentHash } of (answer?.body ?? []) as Revision[]) {
      this.options.recorder.history.finalRevisions.push({ revision, planId, contentHash });
    }
  }

  /** Confirms, and asks again with the same request id, as after a lost answer. */
  private async confirmTwice(plan: Plan): Promise<Revision | undefined> {
    const requestId = randomUUID();
    const [first, second] = await Promise.all([
      this.confirm(plan, requestId),
      this.confirm(plan, requestId),
    ]);
    return first ?? second;
  }

  private async confirm(plan: Plan, requestId: string): Promise<Revision | undefined> {
    const path = `/v1/plans/${plan.id}/confirm`;
    const answer = await this.persist('POST', path, {}, requestId);
    const outcome = outcomeOf(answer);
    const revision = outcome === 'accepted' ? (answer!.body as Revision) : undefined;
    this.options.recorder.history.confirms.push({
      requestId,
      planId: plan.id,
      baseRevision: plan.baseRevision,
      contentHash: plan.contentHash,
      outcome,
      revision: revision?.revision,
      revisionContentHash: revision?.contentHash,
      answeredAtMs: Date.now(),
    });
    return revision;
  }

  private async plan(document: IntentDocument): Promise<Plan | undefined> {
    const answer = await this.persist('POST', '/v1/plans', document);
    return answer && answer.status < 300 ? (answer.body as Plan) : undefined;
  }

  private async readDocument(): Promise<IntentDocument | undefined> {
    const answer = await this.persist('GET', '/v1/document', undefined);
    return (answer?.body as { document: IntentDocument } | undefined)?.document;
  }

  /** Sends to one control process after the other until there is an answer. */
  private async persist(
    method: 'GET' | 'POST',
    path: string,
    body: unknown,
    requestId: string = randomUUID(),
  ): Promise<Answer | undefined> {
    const controls = this.options.fleet.ofKind('control');
    const deadline = Date.now() + PATIENCE_MS;
    let next = Math.floor(Math.random() * controls.length);
    while (Date.now() < deadline) {
      const address = controls[next++ % controls.length]!.plan.operatorAddress!;
      const answer = await this.send(address, method, path, body, requestId).catch(() => undefined);
      if (answer && answer.status < HTTP_SERVER_ERROR) return answer;
      await sleep(PAUSE_MS);
    }
    return undefined;
  }

  private async send(
    address: string,
    method: 'GET' | 'POST',
    path: string,
    body: unknown,
    requestId: string,
  ): Promise<Answer> {
    const response = await request(`http://${address}${path}`, {
      method,
      headers: {
        authorization: `Bearer ${this.options.fleet.plan.operatorKey}`,
        'content-type': 'application/json',
        'idempotency-key': requestId,
      },
      body: body === undefined ? null : JSON.stringify(body),
      headersTimeout: TIMEOUT_MS,
      bodyTimeout: TIMEOUT_MS,
    });
    return { status: response.statusCode, body: await response.body.json() };
  }
}

function outcomeOf(answer: Answer | undefined): ConfirmOutcome {
  if (!answer) return 'no-answer';
  return answer.status < 300 ? 'accepted' : 'refused';
}

function withState(
  document: IntentDocument,
  engine: string,
  state: BackendIntent['state'],
): IntentDocument {
  const backends = document.backends.map((backend) =>
    backend.id === engine ? { ...backend, state } : backend,
  );
  return { ...document, backends };
}
