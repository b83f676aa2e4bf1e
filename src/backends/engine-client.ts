/** Client of model engines: dispatches calls and reads, resumes and cancels their streams. */
import { Agent, type Dispatcher } from 'undici';
import { z } from 'zod';
import type { ChatMessage } from '../common/index.js';
import { EventParser, type ServerSentEvent, backendConnector } from '../http/index.js';
import { BackendError, BackendLostError, BackendProtocolError } from './errors.js';
import { callBackend } from './http-call.js';
import { type LoadReport, loadReportSchema } from './load-report.js';

export interface EngineCall {
  tenant: string;
  program: string;
  sequence: number;
  attempt: number;
  model: string;
  messages: readonly ChatMessage[];
  maxTokens: number;
  /** Lower values run first. */
  priority: number;
  /** Maximum cost in tokens; the engine rejects the call if it would cost more. */
  costCeiling: number;
  /** How long the engine keeps the program's prefix cached after the response, in milliseconds. */
  holdMs: number;
}

/** Identifies a stream that an engine may still have buffered. */
export interface StreamReference {
  program: string;
  sequence: number;
  attempt: number;
}

export interface EngineUsage {
  promptTokens: number;
  cachedTokens: number;
  outputTokens: number;
}

export interface EngineStreamEnd {
  finishReason: string;
  usage: EngineUsage;
  /** The engine's load, if included in the response. */
  load?: LoadReport;
}

/** A chunk of a response; the last one has `end`. */
export interface EngineChunk {
  text: string;
  end?: EngineStreamEnd;
}

export interface EngineClientOptions {
  firstTokenTimeoutMs: number;
  idleTimeoutMs: number;
}

const chunkSchema = z.object({
  choices: z
    .array(
      z.object({
        delta: z.object({ content: z.string().optional() }),
        finish_reason: z.string().nullish(),
      }),
    )
    .length(1),
  usage: z
    .object({
      prompt_tokens: z.number(),
      completion_tokens: z.number(),
      prompt_tokens_details: z.object({ cached_tokens: z.number() }).optional(),
    })
    .nullish(),
  ledgegauge: z.object({ load: loadReportSchema.optional() }).optional(),
});

interface TextChunk {
  choices: [{ delta: { content: string }; finish_reason?: undefined }];
}

const DONE_MARKER = '[DONE]';
const CONNECT_TIMEOUT_MS = 500;

export class EngineClient {
  private readonly agent = new Agent({ connect: backendConnector(CONNECT_TIMEOUT_MS) });

  constructor(private readonly options: EngineClientOptions) {}

  /** Dispatches a call and yields its response. @throws BackendError */
  async *complete(address: string, call: EngineCall): AsyncGenerator<EngineChunk> {
    const { tenant, program, sequence, attempt, costCeiling, holdMs } = call;
    const response = await callBackend(this.agent, {
      step: 'engine.complete',
      address,
      method: 'POST',
      path: '/v1/chat/completions',
      body: {
        model: call.model,
        messages: call.messages,
        max_tokens: call.maxTokens,
        priority: call.priority,
        stream: true,
        ledgegauge: {
          tenant,
          program,
          sequence,
          attempt,
          cost_ceiling: costCeiling,
          hold_ms: holdMs,
        },
      },
      headersTimeoutMs: this.options.firstTokenTimeoutMs,
      idleTimeoutMs: this.options.idleTimeoutMs,
    });
    yield* readChunks(response, address, 0);
  }

  /** Resumes a stream at character `offset`. @throws BackendError */
  async *resume(
    address: string,
    stream: StreamReference,
    offset: number,
  ): AsyncGenerator<EngineChunk> {
    const response = await callBackend(this.agent, {
      step: 'engine.resume',
      address,
      method: 'GET',
      path: `${streamPath(stream)}&from=${offset}`,
      headersTimeoutMs: this.options.idleTimeoutMs,
      idleTimeoutMs: this.options.idleTimeoutMs,
    });
    yield* readChunks(response, address, offset);
  }

  /** Cancels a stream; backend errors are ignored. */
  async cancel(address: string, stream: StreamReference): Promise<void> {
    try {
      const response = await callBackend(this.agent, {
        step: 'engine.cancel',
        address,
        method: 'DELETE',
        path: streamPath(stream),
        headersTimeoutMs: this.options.idleTimeoutMs,
        idleTimeoutMs: this.options.idleTimeoutMs,
      });
      await response.body.dump();
    } catch (error) {
      if (!(error instanceof BackendError)) throw error;
    }
  }

  close(): Promise<void> {
    return this.agent.destroy();
  }
}

function streamPath({ program, sequence, attempt }: StreamReference): string {
  return `/v1/streams/${encodeURIComponent(program)}/${sequence}?attempt=${attempt}`;
}

async function* readChunks(
  response: Dispatcher.ResponseData,
  address: string,
  offset: number,
): AsyncGenerator<EngineChunk> {
  const parser = new EventParser();
  const reader = new ChunkReader(address, offset);
  const context = { step: 'engine.stream', peer: address, retriable: true };
  response.body.setEncoding('utf8');
  try {
    for await (const text of response.body) {
      for (const event of parser.push(text as string)) {
        if (event.data === DONE_MARKER) return reader.finish();
        yield reader.read(event);
      }
    }
  } catch (cause) {
    if (cause instanceof BackendError) throw cause;
    throw new BackendLostError('connection lost during the stream', { ...context, cause });
  }
  throw new BackendLostError('the stream ended early', context);
}

/**
 * Fast path for the plain text chunks that make up most of a stream; all other chunks, including invalid
 * ones, are validated by the schema.
 */
function isTextChunk(value: unknown): value is TextChunk {
  const { choices, usage, ledgegauge } = value as Partial<TextChunk & z.infer<typeof chunkSchema>>;
  if (!Array.isArray(choices) || choices.length !== 1 || usage || ledgegauge) return false;
  const choice = choices[0] as Partial<TextChunk['choices'][0]> | null;
  return typeof choice?.delta?.content === 'string' && choice.finish_reason === undefined;
}

/** Decodes chunks and checks that their positions are contiguous. */
class ChunkReader {
  private hasEnded = false;

  constructor(
    private readonly address: string,
    private position: number,
  ) {}

  read(event: ServerSentEvent): EngineChunk {
    const chunk = this.parse(event.data);
    const choice = chunk.choices[0]!;
    const text = choice.delta.content ?? '';
    this.position += text.length;
    if (event.id !== undefined && Number(event.id) !== this.position) {
      throw this.error(`expected position ${this.position}, got ${event.id}`);
    }
    if (typeof choice.finish_reason !== 'string') return { text };
    if (!chunk.usage) throw this.error('the last chunk has no usage');
    this.hasEnded = true;
    const { usage } = chunk;
    return {
      text,
      end: {
        finishReason: choice.finish_reason,
        usage: {
          promptTokens: usage.prompt_tokens,
          cachedTokens: usage.prompt_tokens_details?.cached_tokens ?? 0,
          outputTokens: usage.completion_tokens,
        },
        load: chunk.ledgegauge?.load,
      },
    };
  }

  finish(): void {
    if (!this.hasEnded) throw this.error('[DONE] before the last chunk');
  }

  private parse(data: string): z.infer<typeof chunkSchema> {
    try {
      const value: unknown = JSON.parse(data);
      return isTextChunk(value) ? value : chunkSchema.parse(value);
    } catch (cause) {
      throw this.error('invalid chunk in the stream', cause);
    }
  }

  private error(message: string, cause?: unknown): BackendProtocolError {
    return new BackendProtocolError(message, {
      step: 'engine.stream',
      peer: this.address,
      retriable: true,
      cause,
    });
  }
}
