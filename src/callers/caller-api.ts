/** HTTP API for callers: programs, their calls, and chat completions. */
import type { ServerResponse } from 'node:http';
import { GroupUnavailableError } from '../consensus/index.js';
import {
  type HttpExchange,
  type HttpProblem,
  HttpRouter,
  badRequestProblem,
  readJson,
  sendJson,
  shuttingDownProblem,
} from '../http/index.js';
import type { TenantIntent } from '../intents/index.js';
import {
  type CallResponse,
  type CallRecord,
  type OpenCommand,
  type ProgramSummary,
  createProgramId,
  depthOf,
  isProgramId,
} from '../journal/index.js';
import { completionDocument, writeJsonResponse, writeEventStream } from './response-writer.js';
import type { CallContext, CallSpecification } from './call-context.js';
import { canTakeCall, maxCallMs } from './call-duration.js';
import {
  callGoesOnProblem,
  outcomePendingProblem,
  problemOf,
  refusalProblem,
  unknownProgramProblem,
} from './call-problem.js';
import type { CallExecution } from './call-execution.js';
import type { CallResult } from './call-result.js';
import type { CallRunner } from './call-runner.js';
import {
  type ModelCallBody,
  type ServiceCallBody,
  chatCompletionSchema,
  hashRequest,
  isResend,
  modelCallSchema,
  openProgramSchema,
  parseBody,
  parseSequence,
  parseSubmission,
  serviceCallSchema,
} from './request-schemas.js';
import { refuseByShutdown } from './shutdown-refusal.js';
import { JOURNAL_RETRY_AFTER_MS, resultOfSettled } from './settlement.js';
import type { TenantAuthentication } from './tenant-authentication.js';

export interface CallerApiOptions {
  context: CallContext;
  runner: CallRunner;
  tenants: TenantAuthentication;
}

type OpenBody = ReturnType<typeof openProgramSchema.parse>;

const IDEMPOTENCY_KEY = 'idempotency-key';
const MAX_IDEMPOTENCY_KEY_LENGTH = 256;

export class CallerApi {
  readonly router = new HttpRouter();

  constructor(private readonly options: CallerApiOptions) {
    const { settings } = options.context;
    const journalRoute = { maxDurationMs: () => settings.calls.journalTimeout };
    const pending =
      (handler: (exchange: HttpExchange) => Promise<void>) =>
      (exchange: HttpExchange): Promise<void> =>
        mapUnavailableToPending(handler.call(this, exchange));
    this.router
      .on('POST', '/v1/programs', pending(this.openProgram), journalRoute)
      .on('GET', '/v1/programs/:program', pending(this.readProgram), journalRoute)
      .on('POST', '/v1/programs/:program/end', pending(this.endProgram), journalRoute)
      .on('POST', '/v1/programs/:program/calls/:sequence', pending(this.issueCall), {
        // The kind of the call is in its body; a model call is checked once that is read.
        maxDurationMs: () => maxCallMs(settings, 'service'),
        refuse: (exchange) => mapUnavailableToPending(this.refuseCall(exchange)),
      })
      .on('GET', '/v1/programs/:program/calls/:sequence', pending(this.readCall), journalRoute)
      .on('POST', '/v1/chat/completions', pending(this.completeChat), {
        maxDurationMs: () => maxCallMs(settings, 'model'),
        refuse: refuseChat,
      });
  }

  private async openProgram({ request, response }: HttpExchange): Promise<void> {
    const tenant = this.options.tenants.authenticate(request);
    const body = parseBody(openProgramSchema, await this.readBody(request));
    const key = readIdempotencyKey(request.headers[IDEMPOTENCY_KEY]);
    const program = await this.open(tenant, body, key);
    sendJson(response, 201, programDocument(program));
  }

  private async readProgram({ request, response, parameters }: HttpExchange): Promise<void> {
    const tenant = this.options.tenants.authenticate(request);
    const programId = readProgramId(parameters);
    const answer = await this.options.context.journal.readProgram(programId, tenant.id);
    if (answer.status !== 'found') throw unknownProgramProblem();
    sendJson(response, 200, programDocument(answer.program));
  }

  private async endProgram({ request, response, parameters }: HttpExchange): Promise<void> {
    const tenant = this.options.tenants.authenticate(request);
    await this.end(readProgramId(parameters), tenant.id);
    sendJson(response, 200, { status: 'ended' });
  }

  private async issueCall({ request, response, parameters }: HttpExchange): Promise<void> {
    const tenant = this.options.tenants.authenticate(request);
    const programId = readProgramId(parameters);
    const sequence = parseSequence(parameters.sequence!);
    const submission = parseSubmission(request);
    const raw = await this.readBody(request);
    const isService = typeof raw === 'object' && raw !== null && 'service' in raw;
    const body = isService ? parseBody(serviceCallSchema, raw) : parseBody(modelCallSchema, raw);
    const specification: CallSpecification = {
      tenant: tenant.id,
      programId,
      sequence,
      submission,
      requestHash: hashRequest(body),
      request: callRequest(body),
      isResend: isResend(request),
    };
    await this.requireTime(specification);
    const wantsEvents = 'messages' in body && body.stream;
    const execution = this.options.runner.start(specification);
    await this.writeResult(response, specification, execution, wantsEvents ? 0 : undefined);
  }

  /** @throws HttpProblem when the call can't end before the gateway does */
  private async requireTime(specification: CallSpecification): Promise<void> {
    const { context } = this.options;
    if (canTakeCall(context, specification.request.kind)) return;
    const problem = await refuseByShutdown(context, specification);
    context.metrics.shutdownCalls.inc({ outcome: problem.problem.outcome });
    throw problem;
  }

  /** Refuses a call of which the body was not read. */
  private async refuseCall({ request, parameters }: HttpExchange): Promise<HttpProblem> {
    const tenant = this.options.tenants.authenticate(request).id;
    const programId = readProgramId(parameters);
    const sequence = parseSequence(parameters.sequence!);
    const submission = parseSubmission(request);
    return refuseByShutdown(this.options.context, { tenant, programId, sequence, submission });
  }

  /** Returns a recorded answer, or resumes the stream of a call in progress. */
  private async readCall(exchange: HttpExchange): Promise<void> {
    const { request, response, parameters, query } = exchange;
    const tenant = this.options.tenants.authenticate(request);
    const programId = readProgramId(parameters);
    const sequence = parseSequence(parameters.sequence!);
    const { journal } = this.options.context;
    const answer = await journal.readCall(programId, tenant.id, sequence);
    const call = recordOf(answer);
    const specification: CallSpecification = {
      tenant: tenant.id,
      programId,
      sequence,
      submission: call.submission,
      requestHash: call.requestHash,
      request: call.request,
      isResend: true,
    };
    const offset = query.has('from') ? parseOffset(query.get('from')!) : undefined;
    if (call.settled && offset === undefined) {
      const result = resultOfSettled(call);
      if (result.kind !== 'completed') throw problemOf(result);
      const metadata = { program: programId, sequence, model: '' };
      sendJson(response, 200, completionDocument(metadata, result));
      return;
    }
    const execution = this.options.runner.start(specification);
    await this.writeResult(response, specification, execution, offset);
  }

  /** Runs a chat completion as a program with a single call. */
  private async completeChat({ request, response }: HttpExchange): Promise<void> {
    const tenant = this.options.tenants.authenticate(request);
    const { model, ...body } = parseBody(chatCompletionSchema, await this.readBody(request));
    const key = readIdempotencyKey(request.headers[IDEMPOTENCY_KEY]);
    const program = await this.open(tenant, { model, limits: {} }, key && `chat/${key}`);
    const specification: CallSpecification = {
      tenant: tenant.id,
      programId: program.id,
      sequence: 1,
      submission: parseSubmission(request),
      requestHash: hashRequest(body),
      request: callRequest(body),
      isResend: program.callCount > 0,
    };
    const execution = this.options.runner.start(specification);
    void execution.result.then((result) => {
      // The call goes on; the end of its program would settle it as unknown.
      if (result.kind === 'interrupted') return;
      // With an idempotency key, the caller may resubmit a call that did not run.
      const mayBeResubmitted = key !== undefined && !isFinal(result);
      if (!mayBeResubmitted) void this.end(program.id, tenant.id).catch(() => undefined);
    });
    await this.writeResult(response, specification, execution, body.stream ? 0 : undefined);
  }

  private async writeResult(
    response: ServerResponse,
    specification: CallSpecification,
    execution: CallExecution,
    eventOffset: number | undefined,
  ): Promise<void> {
    const { programId: program, sequence, tenant } = specification;
    const hint = await this.options.context.hints.get(program, tenant);
    const metadata = { program, sequence, model: hint?.model ?? '' };
    if (eventOffset === undefined) await writeJsonResponse(response, execution, metadata);
    else await writeEventStream(response, execution, metadata, eventOffset);
  }

  private async open(
    tenant: TenantIntent,
    body: OpenBody,
    idempotencyKey: string | undefined,
  ): Promise<ProgramSummary> {
    const { context } = this.options;
    if (!context.lease.isHeld) {
      throw outcomePendingProblem(JOURNAL_RETRY_AFTER_MS, 'this gateway does not hold a lease');
    }
    const command = this.openCommand(tenant, body, idempotencyKey);
    const answer = await context.journal.open(command);
    if (answer.status === 'refused') throw refusalProblem(answer.reason, answer.canSendAgain);
    if (answer.status === 'conflict') {
      throw badRequestProblem(
        'the Idempotency-Key was used for another program',
        'key_reused',
        409,
      );
    }
    context.hints.noteOpened(answer.program);
    return answer.program;
  }

  private openCommand(
    tenant: TenantIntent,
    body: OpenBody,
    idempotencyKey: string | undefined,
  ): OpenCommand {
    const { programs } = this.options.context.settings;
    if (!tenant.models.includes(body.model)) {
      throw badRequestProblem('this tenant may not use the model', 'model_not_allowed', 403);
    }
    if (body.parent !== undefined && !isProgramId(body.parent)) throw unknownProgramProblem();
    const programId = createProgramId(tenant.id, body.parent, idempotencyKey);
    if (depthOf(programId) > programs.maxDepth) throw refusalProblem('depth-limit', false);
    const budget = Math.min(body.budget ?? programs.defaultBudget, tenant.maxProgramBudget);
    const { limits } = body;
    return {
      type: 'open',
      programId,
      tenant: tenant.id,
      parent: body.parent,
      model: body.model,
      budget,
      deadlineMs: body.deadline_ms ?? programs.defaultDeadline,
      limits: {
        maxCalls: Math.min(limits.max_calls ?? programs.maxCalls, programs.maxCalls),
        maxDepth: Math.min(limits.max_depth ?? programs.maxDepth, programs.maxDepth),
        maxRepeatedCalls: limits.max_repeated_calls ?? programs.maxRepeatedCalls,
        idleTimeoutMs: limits.idle_timeout_ms ?? programs.idleTimeout,
      },
    };
  }

  private async end(programId: string, tenant: string): Promise<void> {
    const { context } = this.options;
    const answer = await context.journal.end({
      type: 'end',
      programId,
      tenant,
      reason: 'ended-by-caller',
    });
    if (answer.status === 'unknown-program') throw unknownProgramProblem();
    context.holds.noteEnded();
    context.histories.forget(programId);
    context.hints.forget(programId, tenant);
  }

  private readBody(request: HttpExchange['request']): Promise<unknown> {
    const { settings, memoryBudget } = this.options.context;
    return readJson(request, settings.calls.maxBody, memoryBudget);
  }
}

function callRequest(body: ModelCallBody | ServiceCallBody): CallSpecification['request'] {
  if ('messages' in body) {
    const { messages, max_tokens: maxOutputTokens } = body;
    return { kind: 'model', messages, maxOutputTokens, isRepeatable: true };
  }
  const { service, repeatable: isRepeatable } = body;
  return { kind: 'service', messages: [], maxOutputTokens: 0, isRepeatable, service };
}

function isFinal(result: CallResult): boolean {
  if (result.kind === 'journal-unavailable') return false;
  return result.kind !== 'not-run' || !result.canSendAgain;
}

function programDocument(program: ProgramSummary): object {
  return {
    id: program.id,
    parent: program.parent,
    model: program.model,
    status: program.status,
    end_reason: program.endReason,
    budget: program.budget,
    spent: program.spent,
    reserved: program.reserved,
    calls: program.callCount,
    last_settled: program.lastSettled,
    history_tokens: program.historyTokens,
  };
}

function recordOf(answer: CallResponse): CallRecord {
  switch (answer.status) {
    case 'running':
    case 'settled':
      return answer.call;
    case 'refused':
      throw refusalProblem(answer.reason, answer.canSendAgain);
    case 'unknown-program':
      throw unknownProgramProblem();
    case 'unknown-call':
      throw badRequestProblem('no such call is recorded', 'unknown_call', 404);
  }
}

function readProgramId(parameters: Record<string, string>): string {
  const programId = parameters.program!;
  if (!isProgramId(programId)) throw unknownProgramProblem();
  return programId;
}

function readIdempotencyKey(header: string | string[] | undefined): string | undefined {
  if (header === undefined) return undefined;
  const isUsable = typeof header === 'string' && header.length > 0;
  if (!isUsable || header.length > MAX_IDEMPOTENCY_KEY_LENGTH) {
    throw badRequestProblem(
      `Idempotency-Key must have 1 to ${MAX_IDEMPOTENCY_KEY_LENGTH} characters`,
    );
  }
  return header;
}

function parseOffset(text: string): number {
  const offset = Number(text);
  if (!Number.isInteger(offset) || offset < 0)
    throw badRequestProblem('from must be a non-negative integer');
  return offset;
}

/** With a key, a copy of the request may run at another gateway. */
async function refuseChat({ request }: HttpExchange): Promise<HttpProblem> {
  const key = request.headers[IDEMPOTENCY_KEY];
  return key === undefined ? shuttingDownProblem() : callGoesOnProblem();
}

async function mapUnavailableToPending<T>(work: Promise<T>): Promise<T> {
  try {
    return await work;
  } catch (error) {
    if (!(error instanceof GroupUnavailableError)) throw error;
    throw problemOf({ kind: 'journal-unavailable', retryAfterMs: JOURNAL_RETRY_AFTER_MS });
  }
}
