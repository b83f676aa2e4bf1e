/** HTTP interface of the emulated engine. */
import type { ServerResponse } from 'node:http';
import { z } from 'zod';
import { countMessageTokens, monotonicMs, sleep } from '../../src/common/index.js';
import {
  type HttpExchange,
  HttpProblem,
  HttpRouter,
  HttpServer,
  badRequestProblem,
  formatEvent,
  readJson,
  sendJson,
} from '../../src/http/index.js';
import type { Logger } from '../../src/observability/index.js';
import { renderPrompt } from '../model/answer-text.js';
import { EngineModel } from '../model/engine-model.js';
import { BLOCK_TOKENS } from '../model/engine-options.js';
import { appendRecord } from '../record-file.js';
import { addStatusPages } from '../status-pages.js';
import type { EngineRequest, EngineSequence } from '../model/sequence.js';
import { blockHashes } from '../model/prefix-cache.js';
import { CacheEventFeed } from './cache-event-feed.js';
import { EngineRunner } from './engine-runner.js';
import type { EngineSettings } from './engine-settings.js';
import { FaultInjector, faultModeSchema } from './fault-injector.js';
import { EngineOrderState, orderSchema } from './engine-order-state.js';

const MAX_BODY_BYTES = 64 * 1024 * 1024;
const RETRY_AFTER_MS = 200;
/** Exit code of an engine that ends under a request. */
const EXIT_ENDED = 70;
/** SSE comment that keeps the stream alive while a request waits. */
const KEEP_ALIVE = ': keep-alive\n\n';
const KEEP_ALIVE_INTERVAL_MS = 1_000;

const messageSchema = z.object({ role: z.string(), content: z.string() });
const completionSchema = z.object({
  model: z.string(),
  messages: z.array(messageSchema).min(1),
  max_tokens: z.number().int().min(1).max(1_000_000),
  priority: z.number().default(0),
  ledgegauge: z.object({
    tenant: z.string(),
    program: z.string(),
    sequence: z.number().int().min(1),
    attempt: z.number().int().min(1),
    /** Maximum cost in tokens; a request that may exceed it is rejected. */
    cost_ceiling: z.number().int().min(1),
    hold_ms: z.number().min(0).default(0),
  }),
});
const releaseSchema = z.object({ programs: z.array(z.string()), fence: z.number() });
const transferSchema = z.object({
  tenant: z.string(),
  program: z.string(),
  model: z.string(),
  messages: z.array(messageSchema).min(1),
});

/** Release of a program's cache memory; read by the consistency checks. */
export interface ReleaseRecord {
  program: string;
  blocks: number;
  wallClockMs: number;
}

/** Arrival of a completion request; read by the checks of draining. */
export interface ArrivalRecord {
  tenant: string;
  program: string;
  sequence: number;
  attempt: number;
  promptTokens: number;
  wallClockMs: number;
}

export class EngineServer {
  private readonly model: EngineModel;
  private readonly runner: EngineRunner;
  private readonly feed: CacheEventFeed;
  private readonly orderState: EngineOrderState;
  private readonly faults = new FaultInjector();
  private readonly releases: ReleaseRecord[] = [];
  private readonly arrivals: ArrivalRecord[] = [];
  /** Settles after the last KV transfer that was started. */
  private lastTransfer: Promise<void> = Promise.resolve();
  private server!: HttpServer;

  private constructor(
    private readonly settings: EngineSettings,
    private readonly logger: Logger,
  ) {
    const { lag, lossProbability, seed } = settings.cacheEvents;
    this.feed = new CacheEventFeed({ lagMs: lag, lossProbability, seed });
    this.model = new EngineModel(settings.model, {
      onCacheEvent: (event) => this.feed.add(event),
      onExecution: (execution) =>
        appendRecord(settings.recordFile, {
          kind: 'engine-execution',
          engine: settings.node.name,
          ...execution,
          wallClockMs: Date.now(),
        }),
    });
    this.runner = new EngineRunner(this.model, settings.timeScale, settings.loadReportLag);
    this.orderState = new EngineOrderState(settings.weightStore);
  }

  static async start(settings: EngineSettings, logger: Logger): Promise<EngineServer> {
    const engine = new EngineServer(settings, logger);
    engine.server = await HttpServer.start({
      host: settings.listen.host,
      port: settings.listen.port,
      router: engine.createRouter(),
      onError: (description) => logger.error('request failed', { description }),
    });
    return engine;
  }

  get port(): number {
    return this.server.port;
  }

  async stop(): Promise<void> {
    await this.server.drain();
    this.runner.stop();
  }

  private createRouter(): HttpRouter {
    const router = new HttpRouter()
      .on('POST', '/v1/chat/completions', (exchange) => this.complete(exchange))
      .on('GET', '/v1/streams/:program/:sequence', (exchange) => this.resume(exchange))
      .on('DELETE', '/v1/streams/:program/:sequence', (exchange) => this.cancel(exchange))
      .on('POST', '/v1/releases', (exchange) => this.release(exchange))
      .on('GET', '/v1/programs', (exchange) => this.listPrograms(exchange))
      .on('GET', '/v1/load', async ({ response }) =>
        sendJson(response, 200, { ...this.runner.laggingLoad(), role: this.orderState.role }),
      )
      .on('GET', '/v1/cache-events', async ({ response, query }) =>
        sendJson(response, 200, this.feed.pageAfter(Number(query.get('after') ?? 0))),
      )
      .on('POST', '/v1/orders', (exchange) => this.order(exchange))
      .on('POST', '/v1/kv/export', (exchange) => this.exportCache(exchange))
      .on('POST', '/v1/kv/import', (exchange) => this.importCache(exchange))
      .on('GET', '/v1/records', (exchange) => this.readRecords(exchange))
      .on('POST', '/v1/faults', async ({ request, response }) => {
        this.faults.set(faultModeSchema.parse(await readJson(request, MAX_BODY_BYTES)));
        sendJson(response, 200, {});
      });
    addStatusPages(router, [
      { name: 'arrivals', help: 'Requests accepted so far', read: () => this.arrivals.length },
      {
        name: 'used_blocks',
        help: 'Cache blocks in use',
        read: () => this.model.cache.usedBlocks,
      },
      {
        name: 'held_programs',
        help: 'Programs with a hold',
        read: () => this.model.cache.heldPrograms.length,
      },
    ]);
    return router;
  }

  private async complete({ request, response }: HttpExchange): Promise<void> {
    const parsed = completionSchema.safeParse(await readJson(request, MAX_BODY_BYTES));
    if (!parsed.success) throw badRequestProblem(parsed.error.message);
    if (await this.faults.applyBeforeResponse(response)) return;
    const body = parsed.data;
    if (this.faults.endsUnder(body.messages)) process.exit(EXIT_ENDED);
    const { tenant, program, sequence, attempt, cost_ceiling, hold_ms } = body.ledgegauge;
    if (!this.orderState.serves(body.model))
      throw badRequestProblem('requested model is not loaded', 'no_model', 404);
    const promptTokens = countMessageTokens(body.messages);
    if (promptTokens + body.max_tokens > cost_ceiling) {
      throw badRequestProblem('prompt and max_tokens exceed the cost ceiling', 'over_ceiling', 422);
    }
    const engineRequest: EngineRequest = {
      tenant,
      program,
      sequence,
      attempt,
      model: body.model,
      prompt: renderPrompt(body.messages),
      promptTokens,
      maxTokens: body.max_tokens,
      priority: body.priority,
      holdMs: hold_ms / this.settings.timeScale,
    };
    const isDraining = this.orderState.role === 'draining';
    if (isDraining && !this.model.findStream(program, sequence)) {
      throw unavailableProblem('draining', 'engine is draining and accepts no new requests');
    }
    const result = this.model.submit(engineRequest);
    if (result.kind === 'fenced')
      throw badRequestProblem('a newer attempt is known', 'fenced', 409);
    if (result.kind === 'too-long')
      throw badRequestProblem(
        'prompt and max_tokens exceed the memory of the engine',
        'too_long',
        422,
      );
    if (result.kind === 'overloaded')
      throw unavailableProblem('overloaded', 'request queue is full');
    const arrival = { tenant, program, sequence, attempt, promptTokens, wallClockMs: Date.now() };
    this.arrivals.push(arrival);
    const { name } = this.settings.node;
    appendRecord(this.settings.recordFile, { kind: 'engine-arrival', engine: name, ...arrival });
    this.runner.notify();
    this.stream(response, result.sequence, 0);
  }

  private async resume({ response, parameters, query }: HttpExchange): Promise<void> {
    const stream = this.model.findStream(parameters.program!, Number(parameters.sequence));
    const attempt = Number(query.get('attempt'));
    const isKnown = stream?.request.attempt === attempt && stream.state !== 'cancelled';
    if (!stream || !isKnown) throw badRequestProblem('no such stream', 'no_stream', 404);
    this.stream(response, stream, Number(query.get('from') ?? 0));
  }

  private async cancel({ response, parameters, query }: HttpExchange): Promise<void> {
    const { program, sequence } = parameters;
    const attempt = Number(query.get('attempt'));
    const cancelled = this.model.cancelStream(program!, Number(sequence), attempt);
    sendJson(response, 200, { cancelled });
  }

  /** Streams the generated text from `offset` on, until the sequence ends. */
  private stream(response: ServerResponse, sequence: EngineSequence, offset: number): void {
    response.writeHead(200, { 'content-type': 'text/event-stream' });
    const { program, sequence: number, model } = sequence.request;
    const id = `${program}#${number}`;
    let sent = offset;
    const send = (): void => {
      const newText = sequence.text.slice(sent);
      if (newText.length > 0) {
        sent += newText.length;
        const delta = { choices: [{ index: 0, delta: { content: newText } }], id, model };
        const data = this.faults.corruptChunk(JSON.stringify(delta));
        response.write(formatEvent({ id: String(sent), data }));
        if (this.faults.shouldCutStream()) response.destroy();
      }
      if (!sequence.isOver) return;
      stopListening();
      if (sequence.state === 'finished') this.endStream(response, sequence);
      else response.destroy();
    };
    const keepAlive = setInterval(() => response.write(KEEP_ALIVE), KEEP_ALIVE_INTERVAL_MS);
    const stopProgress = sequence.onProgress(send);
    const stopListening = (): void => {
      clearInterval(keepAlive);
      stopProgress();
    };
    response.on('close', stopListening);
    send();
  }

  private endStream(response: ServerResponse, sequence: EngineSequence): void {
    const { promptTokens, cachedTokens, outputTokens } = sequence.usage;
    const finalChunk = {
      choices: [{ index: 0, delta: {}, finish_reason: sequence.answer.finishReason }],
      usage: {
        prompt_tokens: promptTokens,
        completion_tokens: outputTokens,
        prompt_tokens_details: { cached_tokens: cachedTokens },
      },
      ledgegauge: { load: this.runner.laggingLoad() },
    };
    const length = sequence.answer.text.length;
    response.write(formatEvent({ id: String(length), data: JSON.stringify(finalChunk) }));
    response.end(formatEvent({ data: '[DONE]' }));
  }

  private async release({ request, response }: HttpExchange): Promise<void> {
    const { programs } = releaseSchema.parse(await readJson(request, MAX_BODY_BYTES));
    for (const program of programs) {
      const blocks = this.model.releaseProgram(program);
      this.releases.push({ program, blocks, wallClockMs: Date.now() });
    }
    sendJson(response, 200, { released: programs.length });
  }

  private async listPrograms({ response }: HttpExchange): Promise<void> {
    const { cache, activePrograms } = this.model;
    sendJson(response, 200, { held: cache.heldPrograms, active: activePrograms });
  }

  private async order({ request, response }: HttpExchange): Promise<void> {
    const parsed = orderSchema.safeParse(await readJson(request, MAX_BODY_BYTES));
    if (!parsed.success) throw badRequestProblem(parsed.error.message);
    if (!this.orderState.apply(parsed.data))
      throw badRequestProblem('a newer order was applied already', 'fenced', 409);
    this.logger.info('order taken', { fence: parsed.data.fence, role: parsed.data.role });
    await this.orderState.loadModels();
    sendJson(response, 200, { fence: parsed.data.fence });
  }

  private async exportCache({ request, response }: HttpExchange): Promise<void> {
    const body = transferSchema.parse(await readJson(request, MAX_BODY_BYTES));
    const hashes = blockHashes(body.tenant, body.model, renderPrompt(body.messages));
    const matched = this.model.cache.matchLength(hashes);
    await this.transfer(matched);
    sendJson(response, 200, { hashes: hashes.slice(0, matched) });
  }

  private async importCache({ request, response }: HttpExchange): Promise<void> {
    const body = z
      .object({ program: z.string(), hashes: z.array(z.string()) })
      .parse(await readJson(request, MAX_BODY_BYTES));
    await this.transfer(body.hashes.length);
    this.model.cache.store(body.hashes, body.program, this.model.nowMs);
    sendJson(response, 200, { stored: body.hashes.length });
  }

  /** Simulates the duration of a KV transfer; an engine runs one transfer at a time. */
  private transfer(blocks: number): Promise<void> {
    const durationMs = this.model.transferMs(blocks * BLOCK_TOKENS) * this.settings.timeScale;
    this.lastTransfer = this.lastTransfer.then(() => sleep(durationMs));
    return this.lastTransfer;
  }

  private async readRecords({ response }: HttpExchange): Promise<void> {
    sendJson(response, 200, {
      executions: this.model.executions,
      releases: this.releases,
      arrivals: this.arrivals,
      cacheUsage: this.model.cache.usageAt(this.model.nowMs),
      uptimeMs: monotonicMs(),
    });
  }
}

function unavailableProblem(code: string, detail: string): HttpProblem {
  return new HttpProblem({
    status: 503,
    code,
    detail,
    outcome: 'not_run',
    sendAgain: true,
    retryAfterMs: RETRY_AFTER_MS,
  });
}
