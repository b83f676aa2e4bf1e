/** HTTP API for operators; every control process serves it for the whole system. */
import type { IncomingMessage } from 'node:http';
import { z } from 'zod';
import { sha256Hex } from '../common/index.js';
import {
  type GroupClient,
  type GroupHost,
  GroupUnavailableError,
  votersOf,
} from '../consensus/index.js';
import type { ConfigurationStatus } from '../control/intents-leader.js';
import type { MemoryBudget } from '../memory-budget/index.js';
import {
  type HttpExchange,
  HttpProblem,
  HttpRouter,
  badRequestProblem,
  readJson,
  sendJson,
} from '../http/index.js';
import {
  type ConfirmCommand,
  type ConfirmResult,
  type DocumentResponse,
  INTENTS_GROUP,
  type IntentQuery,
  type PartialPlanCommand,
  type Plan,
  type PlanCommand,
  type PlanResult,
  type Revision,
  intentDocumentSchema,
  isPartialDeclaration,
  partialDocumentSchema,
} from '../intents/index.js';
import { CONFIGURATION_STATUS, type GroupStatus, type StatusResponse } from './messages.js';

const MAX_DOCUMENT_BYTES = 32 * 1024 * 1024;
const REQUEST_TIMEOUT_MS = 5_000;
const ROUTE_OPTIONS = { maxDurationMs: () => REQUEST_TIMEOUT_MS };
const RETRY_AFTER_MS = 1_000;
const DEFAULT_HISTORY_LIMIT = 20;
const MAX_HISTORY_LIMIT = 1_000;

export interface Operator {
  name: string;
  keyHash: string;
}

export interface OperatorApiOptions {
  groups: GroupClient;
  host: GroupHost;
  operators: readonly Operator[];
  /** Counts the bodies that are received. @default they are not counted */
  memoryBudget?: MemoryBudget;
}

export class OperatorApi {
  readonly router = new HttpRouter();

  constructor(private readonly options: OperatorApiOptions) {
    this.router
      .on('POST', '/v1/plans', (exchange) => this.plan(exchange), ROUTE_OPTIONS)
      .on('GET', '/v1/plans/:id', (exchange) => this.readPlan(exchange), ROUTE_OPTIONS)
      .on('POST', '/v1/plans/:id/confirm', (exchange) => this.confirm(exchange), ROUTE_OPTIONS)
      .on('GET', '/v1/document', (exchange) => this.readDocument(exchange), ROUTE_OPTIONS)
      .on('GET', '/v1/history', (exchange) => this.readHistory(exchange), ROUTE_OPTIONS)
      .on('GET', '/v1/status', (exchange) => this.readStatus(exchange), ROUTE_OPTIONS);
  }

  private async plan({ request, response }: HttpExchange): Promise<void> {
    const operator = this.authenticate(request);
    const declared = readDeclaration(
      await readJson(request, MAX_DOCUMENT_BYTES, this.options.memoryBudget),
    );
    const command = { operator, ...declared };
    const result = await this.execute<typeof command, PlanResult>(command);
    if (result.status === 'inconsistent') {
      throw badRequestProblem(result.problems.join('; '), 'invalid_document', 422);
    }
    sendJson(response, 201, result.plan);
  }

  private async readPlan({ request, response, parameters }: HttpExchange): Promise<void> {
    this.authenticate(request);
    const plan = await this.query<Plan | null>({ type: 'plan', planId: parameters.id! });
    if (!plan) throw badRequestProblem('no such plan', 'unknown_plan', 404);
    sendJson(response, 200, plan);
  }

  private async confirm({ request, response, parameters }: HttpExchange): Promise<void> {
    const operator = this.authenticate(request);
    const requestId = request.headers['idempotency-key'];
    if (typeof requestId !== 'string' || requestId.length === 0) {
      throw badRequestProblem(
        'an Idempotency-Key header is required, so that the request can be repeated safely',
      );
    }
    const command: ConfirmCommand = {
      type: 'confirm',
      operator,
      planId: parameters.id!,
      requestId: `${operator}/${requestId}`,
    };
    const result = await this.execute<ConfirmCommand, ConfirmResult>(command);
    if (result.status === 'accepted') sendJson(response, 200, result.revision);
    else throw confirmProblem(result);
  }

  private async readDocument({ request, response }: HttpExchange): Promise<void> {
    this.authenticate(request);
    sendJson(response, 200, await this.query<DocumentResponse>({ type: 'document' }));
  }

  private async readHistory({ request, response, query }: HttpExchange): Promise<void> {
    this.authenticate(request);
    const limit = Number(query.get('limit') ?? DEFAULT_HISTORY_LIMIT);
    if (!Number.isInteger(limit) || limit < 1 || limit > MAX_HISTORY_LIMIT) {
      throw badRequestProblem(`limit must be from 1 to ${MAX_HISTORY_LIMIT}`);
    }
    sendJson(response, 200, await this.query<Revision[]>({ type: 'history', limit }));
  }

  private async readStatus({ request, response }: HttpExchange): Promise<void> {
    this.authenticate(request);
    const configuration = await mapGroupUnavailable(
      this.options.groups.callWithRedirect<
        Record<string, never>,
        StatusResponse,
        ConfigurationStatus
      >(
        INTENTS_GROUP,
        CONFIGURATION_STATUS,
        {},
        (answer) =>
          'status' in answer
            ? { response: answer.status }
            : { leaderAddress: answer.redirect.leaderAddress, refusal: 'not the leader' },
        { timeoutMs: REQUEST_TIMEOUT_MS },
      ),
    );
    sendJson(response, 200, { configuration, groups: this.groupStatuses() });
  }

  private groupStatuses(): GroupStatus[] {
    return this.options.host.all().map((group) => {
      const voters = votersOf(group.configuration);
      const learners = group.configuration.members.filter((member) => member.role === 'learner');
      return {
        group: group.name,
        member: group.ownId,
        state: group.state,
        term: group.term,
        commitIndex: group.commitIndex,
        appliedIndex: group.applier.appliedIndex,
        voters: voters.map((member) => member.id),
        learners: learners.map((member) => member.id),
      };
    });
  }

  private authenticate(request: IncomingMessage): string {
    const header = request.headers.authorization ?? '';
    const key = header.startsWith('Bearer ') ? header.slice('Bearer '.length) : '';
    const hash = sha256Hex(key);
    const operator = this.options.operators.find((candidate) => candidate.keyHash === hash);
    if (!operator) throw badRequestProblem('unknown key', 'unauthorized', 401);
    return operator.name;
  }

  private execute<Command, Result>(command: Command): Promise<Result> {
    const limits = { timeoutMs: REQUEST_TIMEOUT_MS };
    return mapGroupUnavailable(
      this.options.groups.execute<Command, Result>(INTENTS_GROUP, command, limits),
    );
  }

  private query<Answer>(query: IntentQuery): Promise<Answer> {
    const limits = { timeoutMs: REQUEST_TIMEOUT_MS };
    return mapGroupUnavailable(
      this.options.groups.query<IntentQuery, Answer>(INTENTS_GROUP, query, limits),
    );
  }
}

type Declaration = Omit<PlanCommand, 'operator'> | Omit<PartialPlanCommand, 'operator'>;

/** Parses a complete document, or with `set` or `remove` a partial one. */
function readDeclaration(body: unknown): Declaration {
  if (isPartialDeclaration(body))
    return { type: 'partial-plan', partial: validate(partialDocumentSchema, body) };
  return { type: 'plan', document: validate(intentDocumentSchema, body) };
}

function validate<Schema extends z.ZodType>(schema: Schema, body: unknown): z.infer<Schema> {
  const parsed = schema.safeParse(body);
  if (parsed.success) return parsed.data;
  const lines = parsed.error.issues.map((issue) => `${issue.path.join('.')}: ${issue.message}`);
  throw badRequestProblem(lines.join('; '), 'invalid_document', 422);
}

function confirmProblem(result: Exclude<ConfirmResult, { status: 'accepted' }>): HttpProblem {
  if (result.status === 'unknown-plan')
    return badRequestProblem('no such plan', 'unknown_plan', 404);
  if (result.status === 'request-reused') {
    const detail = `this Idempotency-Key was used for plan ${result.planId}`;
    return badRequestProblem(detail, 'idempotency_key_reused', 422);
  }
  const { revision, operator, planId, contentHash } = result.current;
  const detail =
    `revision ${revision} was confirmed first: plan ${planId} of ${operator}, ` +
    `content ${contentHash}; create a new plan`;
  return badRequestProblem(detail, 'stale_plan', 409);
}

async function mapGroupUnavailable<T>(work: Promise<T>): Promise<T> {
  try {
    return await work;
  } catch (error) {
    if (!(error instanceof GroupUnavailableError)) throw error;
    throw new HttpProblem({
      status: 503,
      code: 'control_unavailable',
      detail: 'no quorum of the intents group can be reached; retry with the same key',
      outcome: 'unknown',
      sendAgain: true,
      retryAfterMs: RETRY_AFTER_MS,
    });
  }
}
