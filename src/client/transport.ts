/** One HTTP exchange with one gateway, which results in an answer, a problem or a broken connection. */
import { Agent, request } from 'undici';
import type { Problem } from '../http/index.js';
import { EventParser, readBoundedJson } from '../http/index.js';

export interface GatewayAnswer {
  content: string;
  finishReason: string;
  cost: number;
  usage?: { promptTokens: number; cachedTokens: number; outputTokens: number };
}

export type Exchange =
  | { kind: 'answer'; answer: GatewayAnswer; firstTokenMs: number | undefined }
  | { kind: 'document'; body: unknown }
  | { kind: 'problem'; problem: Problem }
  /** The connection broke; the gateway may have received the request. */
  | { kind: 'broken'; reason: string };

export interface ExchangeRequest {
  gateway: string;
  method: 'GET' | 'POST';
  path: string;
  headers: Record<string, string>;
  body?: unknown;
  /** Maximum time without data before the connection counts as broken, in milliseconds. */
  silenceMs: number;
}

interface CompletionDocument {
  choices?: { message: { content: string }; finish_reason: string }[];
  usage?: {
    prompt_tokens: number;
    completion_tokens: number;
    prompt_tokens_details?: { cached_tokens: number };
  };
  ledgegauge?: { cost: number };
}

interface StreamChunk extends Omit<CompletionDocument, 'choices'> {
  choices: { delta: { content?: string }; finish_reason: string | null }[];
}

const DOCUMENT_BOUNDS = { maxBytes: 64 * 1024 * 1024, timeoutMs: 60_000 };

export class Transport {
  private readonly agent: Agent;

  constructor(connectTimeoutMs: number) {
    this.agent = new Agent({ connect: { timeout: connectTimeoutMs } });
  }

  close(): Promise<void> {
    return this.agent.destroy();
  }

  async exchange(options: ExchangeRequest): Promise<Exchange> {
    const startedAt = performance.now();
    try {
      const response = await request(`http://${options.gateway}${options.path}`, {
        dispatcher: this.agent,
        method: options.method,
        headers: { 'content-type': 'application/json', ...options.headers },
        body: options.body === undefined ? null : JSON.stringify(options.body),
        headersTimeout: options.silenceMs,
        bodyTimeout: options.silenceMs,
      });
      const type = String(response.headers['content-type'] ?? '');
      if (type.startsWith('text/event-stream')) {
        response.body.setEncoding('utf8');
        return await readStream(response.body as AsyncIterable<string>, startedAt);
      }
      const body = await readBoundedJson(response.body, DOCUMENT_BOUNDS);
      if (response.statusCode >= 300) return { kind: 'problem', problem: readProblem(body) };
      return { kind: 'document', body };
    } catch (error) {
      return { kind: 'broken', reason: error instanceof Error ? error.message : String(error) };
    }
  }
}

/** Parses a chat completion document. */
export function readCompletion(body: unknown): GatewayAnswer {
  const document = body as CompletionDocument;
  const choice = document.choices?.[0];
  return {
    content: choice?.message.content ?? '',
    finishReason: choice?.finish_reason ?? '',
    cost: document.ledgegauge?.cost ?? 0,
    usage: readUsage(document),
  };
}

async function readStream(texts: AsyncIterable<string>, startedAt: number): Promise<Exchange> {
  const parser = new EventParser();
  let content = '';
  let firstTokenMs: number | undefined;
  let last: StreamChunk | undefined;
  for await (const text of texts) {
    for (const event of parser.push(text)) {
      if (event.event === 'problem') {
        return { kind: 'problem', problem: readProblem(JSON.parse(event.data)) };
      }
      if (event.event === 'restart') {
        content = '';
        continue;
      }
      if (event.data === '[DONE]') return endOfStream(content, last, firstTokenMs);
      last = JSON.parse(event.data) as StreamChunk;
      content += last.choices[0]?.delta.content ?? '';
      if (content.length > 0) firstTokenMs ??= performance.now() - startedAt;
    }
  }
  return { kind: 'broken', reason: 'the stream ended early' };
}

function endOfStream(
  content: string,
  last: StreamChunk | undefined,
  firstTokenMs: number | undefined,
): Exchange {
  const answer: GatewayAnswer = {
    content,
    finishReason: last?.choices[0]?.finish_reason ?? '',
    cost: last?.ledgegauge?.cost ?? 0,
    usage: last && readUsage(last),
  };
  return { kind: 'answer', answer, firstTokenMs };
}

function readUsage(document: Pick<CompletionDocument, 'usage'>): GatewayAnswer['usage'] {
  if (!document.usage) return undefined;
  return {
    promptTokens: document.usage.prompt_tokens,
    cachedTokens: document.usage.prompt_tokens_details?.cached_tokens ?? 0,
    outputTokens: document.usage.completion_tokens,
  };
}

function readProblem(body: unknown): Problem {
  const document = body as Record<string, unknown>;
  return {
    status: Number(document.status ?? 500),
    code: String(document.code ?? 'unreadable'),
    detail: String(document.detail ?? ''),
    outcome: (document.outcome as Problem['outcome'] | undefined) ?? 'unknown',
    sendAgain: document.send_again === true,
    retryAfterMs: document.retry_after_ms as number | undefined,
    nextSubmission: document.next_submission as number | undefined,
  };
}
