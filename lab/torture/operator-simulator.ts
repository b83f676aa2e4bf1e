/** Simulates operators that confirm concurrently, retry requests and confirm stale plans. */
import { randomUUID } from 'node:crypto';
import { request } from 'undici';
import { type SeededRandom, sleep } from '../../src/common/index.js';
import type { BackendIntent, IntentDocument, Plan, Revision } from '../../src/intents/index.js';
import type { Fleet } from '../fleet/fleet.js';
import type { ConfirmOutcome, Leaving } from './history.js';
import type { HistoryRecorder } from './history-recorder.js';
import type { RevisionWatcher } from './revision-watcher.js';

const REQUEST_TIMEOUT_MS = 1_500;
const RETRY_TIMEOUT_MS = 15_000;
const RETRY_DELAY_MS = 100;
const IN_EFFECT_TIMEOUT_MS = 8_000;
const HISTORY_LIMIT = 1_000;
const HTTP_SERVER_ERROR = 500;

interface OperatorResponse {
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
   * Two operators each drain an engine, with plans for the same base revision that are confirmed
   * concurrently.
   * @returns the engine that is drained; undefined if no operator received a response
   */
  async confirmConcurrently(): Promise<Omit<Leaving, 'untilMs'> | undefined> {
    const { fleet, random } = this.options;
    const engines = fleet.ofKind('engine').map((engine) => engine.name);
    const first = random.pick(engines);
    const second = random.pick(engines.filter((engine) => engine !== first));
    const document = await this.readDocument();
    if (!document) return undefined;
    const plans = await Promise.all(
      [first, second].map((engine) => this.plan(withBackendState(document, engine, 'draining'))),
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
    const staleConfirm = this.confirm(loser, randomUUID());
    const { watcher } = this.options;
    const { revision } = revisions[winner]!;
    await Promise.all([
      staleConfirm,
      watcher.waitUntilInEffect(revision, acceptedAtMs, IN_EFFECT_TIMEOUT_MS),
    ]);
    return { engine: winner === 0 ? first : second, acceptedAtMs };
  }

  /** Reactivates all backends. */
  async activateAll(): Promise<void> {
    const document = await this.readDocument();
    if (!document || document.backends.every((backend) => backend.state === 'active')) return;
    const backends = document.backends.map((backend) => ({ ...backend, state: 'active' as const }));
    const plan = await this.plan({ ...document, backends });
    if (plan) await this.confirmTwice(plan);
  }

  async recordFinalRevisions(): Promise<void> {
    const response = await this.sendUntilResponse(
      'GET',
      `/v1/history?limit=${HISTORY_LIMIT}`,
      undefined,
    );
    for (const { revision, planId, contentHash } of (response?.body ?? []) as Revision[]) {
      this.options.recorder.history.finalRevisions.push({ revision, planId, contentHash });
    }
  }

  /** Confirms a plan and sends a duplicate with the same request id, like a retry after a timeout. */
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
    const response = await this.sendUntilResponse('POST', path, {}, requestId);
    const outcome = confirmOutcome(response);
    const revision = outcome === 'accepted' ? (response!.body as Revision) : undefined;
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
    const response = await this.sendUntilResponse('POST', '/v1/plans', document);
    return response && response.status < 300 ? (response.body as Plan) : undefined;
  }

  private async readDocument(): Promise<IntentDocument | undefined> {
    const response = await this.sendUntilResponse('GET', '/v1/document', undefined);
    return (response?.body as { document: IntentDocument } | undefined)?.document;
  }

  /** Sends the request to the control processes in turn until one responds. */
  private async sendUntilResponse(
    method: 'GET' | 'POST',
    path: string,
    body: unknown,
    requestId: string = randomUUID(),
  ): Promise<OperatorResponse | undefined> {
    const controls = this.options.fleet.ofKind('control');
    const deadline = Date.now() + RETRY_TIMEOUT_MS;
    let nextControl = Math.floor(Math.random() * controls.length);
    while (Date.now() < deadline) {
      const address = controls[nextControl++ % controls.length]!.plan.operatorAddress!;
      const response = await this.send(address, method, path, body, requestId).catch(
        () => undefined,
      );
      if (response && response.status < HTTP_SERVER_ERROR) return response;
      await sleep(RETRY_DELAY_MS);
    }
    return undefined;
  }

  private async send(
    address: string,
    method: 'GET' | 'POST',
    path: string,
    body: unknown,
    requestId: string,
  ): Promise<OperatorResponse> {
    const response = await request(`http://${address}${path}`, {
      method,
      headers: {
        authorization: `Bearer ${this.options.fleet.plan.operatorKey}`,
        'content-type': 'application/json',
        'idempotency-key': requestId,
      },
      body: body === undefined ? null : JSON.stringify(body),
      headersTimeout: REQUEST_TIMEOUT_MS,
      bodyTimeout: REQUEST_TIMEOUT_MS,
    });
    return { status: response.statusCode, body: await response.body.json() };
  }
}

function confirmOutcome(response: OperatorResponse | undefined): ConfirmOutcome {
  if (!response) return 'no-answer';
  return response.status < 300 ? 'accepted' : 'refused';
}

function withBackendState(
  document: IntentDocument,
  engine: string,
  state: BackendIntent['state'],
): IntentDocument {
  const backends = document.backends.map((backend) =>
    backend.id === engine ? { ...backend, state } : backend,
  );
  return { ...document, backends };
}
