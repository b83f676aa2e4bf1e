/**
 * Client library: opens programs, issues their calls and retries where that is safe. After a broken
 * connection the same submission is sent to another gateway; after `not_run` a new submission is sent if
 * the response allows it; after `unknown` nothing is resent.
 */
import { randomUUID } from 'node:crypto';
import { type ChatMessage, monotonicMs, sleep } from '../common/index.js';
import type { Problem } from '../http/index.js';
import { CallFailedError, CallPendingError } from './errors.js';
import { type Exchange, type GatewayAnswer, Transport, readCompletion } from './transport.js';

export interface ProgramClientOptions {
  /** `host:port` of gateways; the first is preferred. */
  gateways: string[];
  apiKey: string;
  /** How long to retry until a call has a final result, in milliseconds. @default 60000 */
  patienceMs?: number;
  /** Maximum time without data on a connection, in milliseconds. @default 10000 */
  silenceMs?: number;
  /** Maximum time to establish a connection, in milliseconds. @default 500 */
  connectTimeoutMs?: number;
  /** Called after each exchange with a gateway. */
  onExchange?: (record: ExchangeRecord) => void;
}

/** One exchange with one gateway. */
export interface ExchangeRecord {
  path: string;
  gateway: string;
  submission: number;
  startedAtMs: number;
  endedAtMs: number;
  result: Exchange;
}

export interface OpenProgramOptions {
  model: string;
  parent?: string;
  budget?: number;
  deadlineMs?: number;
  limits?: { maxCalls?: number; maxDepth?: number; maxRepeatedCalls?: number };
}

export interface CallAnswer extends GatewayAnswer {
  /** From the call's first submission to its first token, in milliseconds. */
  firstTokenMs?: number;
  /** Number of exchanges that the call took. */
  exchanges: number;
}

export interface ServiceRequest {
  name: string;
  operation: string;
  payload: string;
  /** Whether the request may safely run more than once. */
  repeatable: boolean;
}

const DEFAULT_PATIENCE_MS = 60_000;
const DEFAULT_SILENCE_MS = 10_000;
const DEFAULT_CONNECT_TIMEOUT_MS = 500;
const INITIAL_RETRY_DELAY_MS = 30;
const MAX_RETRY_DELAY_MS = 300;

interface Submission {
  step: string;
  method: 'GET' | 'POST';
  path: string;
  headers: Record<string, string>;
  body?: unknown;
}

export class ProgramClient {
  private readonly transport: Transport;
  private preferred = 0;

  constructor(private readonly options: ProgramClientOptions) {
    this.transport = new Transport(options.connectTimeoutMs ?? DEFAULT_CONNECT_TIMEOUT_MS);
  }

  close(): Promise<void> {
    return this.transport.close();
  }

  /** Opens a program. @throws CallFailedError @throws CallPendingError */
  async openProgram(options: OpenProgramOptions): Promise<Program> {
    const { limits } = options;
    const body = {
      model: options.model,
      parent: options.parent,
      budget: options.budget,
      deadline_ms: options.deadlineMs,
      limits: {
        max_calls: limits?.maxCalls,
        max_depth: limits?.maxDepth,
        max_repeated_calls: limits?.maxRepeatedCalls,
      },
    };
    const headers = { 'idempotency-key': randomUUID() };
    const path = '/v1/programs';
    const document = await this.submit({ step: 'open', method: 'POST', path, headers, body });
    if (document.kind !== 'document') throw unexpectedResponse('open');
    return new Program(this, String((document.body as { id: unknown }).id));
  }

  /**
   * Sends a submission until there is a final result.
   * @throws CallFailedError for a final result other than success
   * @throws CallPendingError when the time runs out first
   */
  async submit(
    submission: Submission,
  ): Promise<Exclude<Exchange, { kind: 'problem' | 'broken' }> & { exchanges: number }> {
    const deadline = monotonicMs() + (this.options.patienceMs ?? DEFAULT_PATIENCE_MS);
    let number = 1;
    let isResend = false;
    let consecutiveFailures = 0;
    for (let exchanges = 1; ; exchanges += 1) {
      const result = await this.exchangeOnce(submission, number, isResend);
      if (result.kind === 'document' || result.kind === 'answer') return { ...result, exchanges };
      isResend = true;
      let delayMs: number;
      if (result.kind === 'problem') {
        const { problem } = result;
        if (!problem.sendAgain) throw new CallFailedError(problem, submission.step);
        if (problem.outcome === 'not_run') {
          number = problem.nextSubmission ?? number + 1;
          isResend = false;
        }
        if (isGatewayProblem(problem)) this.preferNext();
        delayMs = problem.retryAfterMs ?? INITIAL_RETRY_DELAY_MS;
        consecutiveFailures = 0;
      } else {
        this.preferNext();
        delayMs = Math.min(MAX_RETRY_DELAY_MS, INITIAL_RETRY_DELAY_MS * 2 ** consecutiveFailures);
        consecutiveFailures += 1;
      }
      if (monotonicMs() + delayMs >= deadline) {
        throw new CallPendingError('no final result before the timeout', { step: submission.step });
      }
      await sleep(delayMs);
    }
  }

  private async exchangeOnce(
    submission: Submission,
    number: number,
    isResend: boolean,
  ): Promise<Exchange> {
    const { gateways, apiKey, silenceMs, onExchange } = this.options;
    const gateway = gateways[this.preferred % gateways.length]!;
    const { method, path, body } = submission;
    const headers: Record<string, string> = {
      ...submission.headers,
      authorization: `Bearer ${apiKey}`,
      'ledgegauge-submission': String(number),
    };
    if (isResend) headers['ledgegauge-resend'] = 'true';
    const startedAtMs = Date.now();
    const result = await this.transport.exchange({
      gateway,
      method,
      path,
      headers,
      body,
      silenceMs: silenceMs ?? DEFAULT_SILENCE_MS,
    });
    const record = {
      path,
      gateway,
      submission: number,
      startedAtMs,
      endedAtMs: Date.now(),
      result,
    };
    onExchange?.(record);
    return result;
  }

  private preferNext(): void {
    this.preferred += 1;
  }
}

/** One open program; its calls are numbered in the order in which they are issued. */
export class Program {
  private nextSequence = 1;

  constructor(
    private readonly client: ProgramClient,
    readonly id: string,
  ) {}

  /** The sequence number that the next call will have. */
  get upcomingSequence(): number {
    return this.nextSequence;
  }

  /** Issues the next call with the messages that it adds to the history. */
  async call(messages: ChatMessage[], maxTokens: number): Promise<CallAnswer> {
    const startedAt = monotonicMs();
    const body = { messages, max_tokens: maxTokens, stream: true };
    const result = await this.issue('call', body);
    if (result.kind === 'answer') {
      const { answer, firstTokenMs, exchanges } = result;
      const waitedMs = exchanges === 1 ? firstTokenMs : monotonicMs() - startedAt;
      return { ...answer, firstTokenMs: waitedMs, exchanges };
    }
    return { ...readCompletion(result.body), exchanges: result.exchanges };
  }

  /** Issues the next call to a service. */
  async callService(request: ServiceRequest): Promise<CallAnswer> {
    const { repeatable, ...service } = request;
    const result = await this.issue('service', { service, repeatable });
    if (result.kind !== 'document') throw unexpectedResponse('service');
    return { ...readCompletion(result.body), exchanges: result.exchanges };
  }

  async end(): Promise<void> {
    const path = `/v1/programs/${this.id}/end`;
    await this.client.submit({ step: 'end', method: 'POST', path, headers: {}, body: {} });
  }

  /** Fetches the recorded answer of an earlier call. */
  async fetch(sequence: number): Promise<GatewayAnswer> {
    const path = `/v1/programs/${this.id}/calls/${sequence}`;
    const result = await this.client.submit({ step: 'fetch', method: 'GET', path, headers: {} });
    if (result.kind !== 'document') throw unexpectedResponse('fetch');
    return readCompletion(result.body);
  }

  private async issue(
    step: string,
    body: unknown,
  ): Promise<Awaited<ReturnType<ProgramClient['submit']>>> {
    const sequence = this.nextSequence;
    const path = `/v1/programs/${this.id}/calls/${sequence}`;
    try {
      const result = await this.client.submit({ step, method: 'POST', path, headers: {}, body });
      this.nextSequence += 1;
      return result;
    } catch (error) {
      // A call with an unknown outcome is settled, so the next call uses the next sequence number.
      const isSettled = error instanceof CallFailedError && error.problem.outcome !== 'not_run';
      if (isSettled) this.nextSequence += 1;
      throw error;
    }
  }
}

/** Whether the problem concerns one gateway, so that another one should be tried. */
function isGatewayProblem(problem: Problem): boolean {
  return ['no_lease', 'shutting_down', 'outcome_pending', 'internal_error'].includes(problem.code);
}

function unexpectedResponse(step: string): CallPendingError {
  return new CallPendingError('the gateway returned a response of an unexpected type', { step });
}
