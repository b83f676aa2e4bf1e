/** Writes the result of a call to the HTTP response: as one JSON document or as server-sent events. */
import type { ServerResponse } from 'node:http';
import type { EngineUsage } from '../backends/index.js';
import { formatEvent, problemBody, sendJson } from '../http/index.js';
import type { CallExecution } from './call-execution.js';
import type { CallResult } from './call-result.js';
import { problemOf } from './call-problem.js';

/** Fields that every response document repeats. */
export interface ResponseMetadata {
  program: string;
  sequence: number;
  model: string;
}

type CompletedResult = Extract<CallResult, { kind: 'completed' }>;

/** Sends one document once the call is settled. @throws HttpProblem when the call has not completed */
export async function writeJsonResponse(
  response: ServerResponse,
  execution: CallExecution,
  metadata: ResponseMetadata,
): Promise<void> {
  const result = await execution.result;
  if (result.kind !== 'completed') throw problemOf(result);
  sendJson(response, 200, completionDocument(metadata, result));
}

export function completionDocument(metadata: ResponseMetadata, result: CompletedResult): object {
  return {
    id: completionId(metadata),
    object: 'chat.completion',
    model: metadata.model,
    choices: [
      {
        index: 0,
        message: { role: 'assistant', content: result.answer },
        finish_reason: result.finishReason,
      },
    ],
    usage: usageDocument(result.usage),
    ledgegauge: { ...metadata, outcome: 'completed', cost: result.cost },
  };
}

/**
 * Streams the answer as events, from character `offset` on. The last event is sent only after the call
 * is settled in the journal. A failure before the first event is sent as a problem document.
 */
export async function writeEventStream(
  response: ServerResponse,
  execution: CallExecution,
  metadata: ResponseMetadata,
  offset: number,
): Promise<void> {
  const writer = new EventWriter(response, metadata, offset);
  while (execution.currentResult === undefined) {
    const progress = execution.waitProgress();
    await writer.writeProgress(execution);
    if (response.destroyed) return;
    await progress;
  }
  const result = execution.currentResult;
  if (result.kind === 'completed') writer.writeCompletion(result);
  else writer.writeProblem(result);
}

class EventWriter {
  private generation = 0;
  /** JSON of a chunk up to its text; only the text differs between chunks. */
  private readonly chunkPrefix: string;

  constructor(
    private readonly response: ServerResponse,
    private readonly metadata: ResponseMetadata,
    private sent: number,
  ) {
    const { model } = metadata;
    const head = { id: completionId(metadata), object: 'chat.completion.chunk', model };
    this.chunkPrefix = `${JSON.stringify(head).slice(0, -1)},"choices":[{"index":0,"delta":{"content":`;
  }

  async writeProgress(execution: CallExecution): Promise<void> {
    if (execution.generation !== this.generation) this.writeRestart(execution.generation);
    if (execution.text.length <= this.sent) return;
    this.writeText(execution.text);
    if (!this.response.writableNeedDrain) return;
    await new Promise<void>((resolve) => {
      this.response.once('drain', resolve);
      this.response.once('close', resolve);
    });
  }

  writeCompletion(result: CompletedResult): void {
    // The recorded answer is authoritative: restart if it is shorter than what was streamed.
    if (result.answer.length < this.sent) this.writeRestart(this.generation + 1);
    if (result.answer.length > this.sent) this.writeText(result.answer);
    this.writeHead();
    const { metadata } = this;
    const finalChunk = {
      id: completionId(metadata),
      object: 'chat.completion.chunk',
      model: metadata.model,
      choices: [{ index: 0, delta: {}, finish_reason: result.finishReason }],
      usage: usageDocument(result.usage),
      ledgegauge: { ...metadata, outcome: 'completed', cost: result.cost },
    };
    const id = String(result.answer.length);
    this.response.write(formatEvent({ id, data: JSON.stringify(finalChunk) }));
    this.response.end(formatEvent({ data: '[DONE]' }));
  }

  writeProblem(result: Exclude<CallResult, { kind: 'completed' }>): void {
    const problem = problemOf(result);
    if (!this.response.headersSent) throw problem;
    this.response.end(formatEvent({ event: 'problem', data: problemBody(problem.problem) }));
  }

  /** Tells the caller to discard the text received so far. */
  private writeRestart(generation: number): void {
    this.generation = generation;
    this.sent = 0;
    this.writeHead();
    this.response.write(formatEvent({ id: '0', event: 'restart', data: '{}' }));
  }

  private writeText(text: string): void {
    this.writeHead();
    const content = JSON.stringify(text.slice(this.sent));
    this.sent = text.length;
    const data = `${this.chunkPrefix}${content}},"finish_reason":null}]}`;
    this.response.write(formatEvent({ id: String(this.sent), data }));
  }

  private writeHead(): void {
    if (this.response.headersSent) return;
    this.response.writeHead(200, {
      'content-type': 'text/event-stream',
      'cache-control': 'no-store',
    });
  }
}

function completionId(metadata: ResponseMetadata): string {
  return `${metadata.program}#${metadata.sequence}`;
}

function usageDocument(usage: EngineUsage | undefined): object | undefined {
  if (!usage) return undefined;
  return {
    prompt_tokens: usage.promptTokens,
    completion_tokens: usage.outputTokens,
    total_tokens: usage.promptTokens + usage.outputTokens,
    prompt_tokens_details: { cached_tokens: usage.cachedTokens },
  };
}
