/**
 * Emulated model engine: continuous batching with chunked prefill, a bounded prefix cache with holds,
 * priorities, resumable streams, KV export and import. It has no clock: `step` runs one iteration and
 * returns its duration, so that the emulator runs it in real time and tests in virtual time.
 */
import { planAnswer } from './answer-text.js';
import { BLOCK_TOKENS, type EngineOptions } from './engine-options.js';
import { type CacheEvent, PrefixCache, blockHashes } from './prefix-cache.js';
import { type EngineRequest, EngineSequence } from './sequence.js';

export type SubmitResult =
  | { kind: 'accepted'; sequence: EngineSequence }
  /** A newer attempt of the same call has already arrived. */
  | { kind: 'fenced' }
  | { kind: 'overloaded' }
  /** The prompt alone exceeds the engine's memory. */
  | { kind: 'too-long' };

export interface LoadReport {
  waiting: number;
  running: number;
  /** Prompt tokens of waiting and running requests that are not computed yet. */
  pendingPrefillTokens: number;
  usedBlocks: number;
  capacityBlocks: number;
}

/** Cost of a finished or cancelled attempt; read by the consistency checks. */
export interface ExecutionRecord {
  tenant: string;
  program: string;
  sequence: number;
  attempt: number;
  model: string;
  promptTokens: number;
  cachedTokens: number;
  outputTokens: number;
  outcome: 'finished' | 'cancelled';
}

export interface EngineObservers {
  onCacheEvent?: (event: CacheEvent) => void;
  onExecution?: (execution: ExecutionRecord) => void;
}

export class EngineModel {
  readonly cache: PrefixCache;
  readonly executions: ExecutionRecord[] = [];
  /** Current model time, in milliseconds. */
  nowMs = 0;
  private readonly streams = new Map<string, EngineSequence>();
  private waiting: EngineSequence[] = [];
  private running: EngineSequence[] = [];
  private nextOrder = 0;

  constructor(
    readonly options: EngineOptions,
    private readonly observers: EngineObservers = {},
  ) {
    const blocks = Math.floor(options.cacheTokens / BLOCK_TOKENS);
    this.cache = new PrefixCache(blocks, observers.onCacheEvent);
  }

  get isIdle(): boolean {
    return this.waiting.length === 0 && this.running.length === 0;
  }

  /** Programs with a waiting or running request. */
  get activePrograms(): string[] {
    const active = [...this.waiting, ...this.running];
    return [...new Set(active.map((sequence) => sequence.request.program))];
  }

  /** Enqueues a request; a repeat of the current attempt joins its existing stream. */
  submit(request: EngineRequest): SubmitResult {
    const key = streamKey(request.program, request.sequence);
    const known = this.streams.get(key);
    if (known && known.request.attempt > request.attempt) return { kind: 'fenced' };
    if (known && known.request.attempt === request.attempt) {
      return { kind: 'accepted', sequence: known };
    }
    if (this.blocksFor(request) > this.options.cacheTokens / BLOCK_TOKENS) {
      return { kind: 'too-long' };
    }
    if (this.waiting.length >= this.options.maxWaiting) return { kind: 'overloaded' };
    if (known) this.cancel(known);
    const answer = planAnswer(request.model, request.prompt, request.maxTokens);
    const hashes = blockHashes(request.tenant, request.model, request.prompt);
    const order = this.nextOrder++;
    const sequence = new EngineSequence(request, answer, hashes, this.nowMs, order);
    this.streams.set(key, sequence);
    this.waiting.push(sequence);
    return { kind: 'accepted', sequence };
  }

  /** Returns the stream of a call unless it is unknown or its retention has expired. */
  findStream(program: string, sequence: number): EngineSequence | undefined {
    return this.streams.get(streamKey(program, sequence));
  }

  cancelStream(program: string, sequence: number, attempt: number): boolean {
    const stream = this.findStream(program, sequence);
    if (!stream || stream.request.attempt > attempt) return false;
    this.cancel(stream);
    return true;
  }

  /** Drops the streams and cached blocks of a program; returns the number of evicted blocks. */
  releaseProgram(program: string): number {
    for (const [key, stream] of this.streams) {
      if (stream.request.program !== program) continue;
      this.cancel(stream);
      this.streams.delete(key);
    }
    return this.cache.releaseProgram(program, this.nowMs);
  }

  load(): LoadReport {
    const active = [...this.waiting, ...this.running];
    return {
      waiting: this.waiting.length,
      running: this.running.length,
      pendingPrefillTokens: active.reduce((sum, entry) => sum + this.remainingPrefill(entry), 0),
      usedBlocks: this.cache.usedBlocks,
      capacityBlocks: Math.floor(this.options.cacheTokens / BLOCK_TOKENS),
    };
  }

  /** Runs one iteration; returns its duration in model milliseconds, 0 if the engine is idle. */
  step(): number {
    this.cache.expireHolds(this.nowMs);
    this.admit();
    if (this.running.length === 0) return 0;
    const prefilled = this.prefill();
    const { baseStepMs, stepMsPerSequence, stepMsPerPrefillToken } = this.options;
    const durationMs =
      baseStepMs + stepMsPerSequence * this.running.length + stepMsPerPrefillToken * prefilled;
    this.nowMs += durationMs;
    this.decode();
    return durationMs;
  }

  /** Advances the model time of an idle engine. */
  idle(durationMs: number): void {
    this.nowMs += durationMs;
    this.cache.expireHolds(this.nowMs);
    this.evictExpiredStreams();
  }

  /** Time to transfer the KV cache of `tokens` tokens, in model milliseconds. */
  transferMs(tokens: number): number {
    return tokens * this.options.transferMsPerToken;
  }

  private remainingPrefill(sequence: EngineSequence): number {
    return sequence.state === 'waiting' ? sequence.request.promptTokens : sequence.prefillRemaining;
  }

  private blocksFor(request: EngineRequest): number {
    return Math.ceil((request.promptTokens + request.maxTokens) / BLOCK_TOKENS);
  }

  /** Adds waiting requests to the batch in order of priority while memory allows. */
  private admit(): void {
    if (this.waiting.length === 0 || this.running.length >= this.options.maxBatch) return;
    this.waiting.sort(
      (left, right) => left.request.priority - right.request.priority || left.order - right.order,
    );
    while (this.waiting.length > 0 && this.running.length < this.options.maxBatch) {
      if (!this.tryStart(this.waiting[0]!)) return;
      this.running.push(this.waiting.shift()!);
    }
  }

  private tryStart(sequence: EngineSequence): boolean {
    const { request, hashes } = sequence;
    const matched = hashes.slice(0, this.cache.matchLength(hashes));
    this.cache.pin(matched, request.program, this.nowMs);
    const needed = this.blocksFor(request) - matched.length;
    if (!this.cache.reservePrivate(needed, this.nowMs)) {
      this.cache.unpin(matched);
      return false;
    }
    sequence.pinnedHashes = matched;
    sequence.privateBlocks = needed;
    // The last prompt token is always computed: its logits yield the first output token.
    sequence.cachedTokens = Math.min(matched.length * BLOCK_TOKENS, request.promptTokens - 1);
    sequence.prefillRemaining = request.promptTokens - sequence.cachedTokens;
    sequence.state = 'prefill';
    return true;
  }

  private prefill(): number {
    let budget = this.options.prefillTokensPerStep;
    let total = 0;
    for (const sequence of this.running) {
      if (sequence.state !== 'prefill' || budget <= 0) continue;
      const count = Math.min(budget, sequence.prefillRemaining);
      sequence.prefillRemaining -= count;
      budget -= count;
      total += count;
      if (sequence.prefillRemaining === 0) sequence.state = 'decode';
    }
    return total;
  }

  private decode(): void {
    for (const sequence of this.running) {
      if (sequence.state !== 'decode') continue;
      sequence.generatedTokens += 1;
      if (sequence.generatedTokens >= sequence.answer.tokens) this.finish(sequence);
    }
    const batch = this.running;
    this.running = this.running.filter((sequence) => !sequence.isOver);
    for (const sequence of batch) sequence.notify();
  }

  private finish(sequence: EngineSequence): void {
    const { request } = sequence;
    sequence.state = 'finished';
    sequence.finishedAtMs = this.nowMs;
    this.cache.unpin(sequence.pinnedHashes);
    this.cache.freePrivate(sequence.privateBlocks);
    const conversation = `${request.prompt}<assistant>${sequence.answer.text}\n`;
    const hashes = blockHashes(request.tenant, request.model, conversation);
    this.cache.store(hashes, request.program, this.nowMs);
    if (request.holdMs > 0) this.cache.hold(request.program, hashes, this.nowMs + request.holdMs);
    this.record(sequence, 'finished');
  }

  private cancel(sequence: EngineSequence): void {
    if (sequence.isOver) return;
    const wasRunning = sequence.state !== 'waiting';
    sequence.state = 'cancelled';
    sequence.finishedAtMs = this.nowMs;
    this.waiting = this.waiting.filter((entry) => entry !== sequence);
    this.running = this.running.filter((entry) => entry !== sequence);
    if (wasRunning) {
      this.cache.unpin(sequence.pinnedHashes);
      this.cache.freePrivate(sequence.privateBlocks);
      this.record(sequence, 'cancelled');
    }
    sequence.notify();
  }

  private record(sequence: EngineSequence, outcome: ExecutionRecord['outcome']): void {
    const { tenant, program, sequence: number, attempt, model } = sequence.request;
    const counts = sequence.usage;
    const execution = {
      tenant,
      program,
      sequence: number,
      attempt,
      model,
      ...counts,
      outcome,
    };
    this.executions.push(execution);
    this.observers.onExecution?.(execution);
  }

  private evictExpiredStreams(): void {
    const expiryMs = this.nowMs - this.options.streamRetentionMs;
    for (const [key, stream] of this.streams) {
      if (stream.isOver && stream.finishedAtMs < expiryMs) this.streams.delete(key);
    }
  }
}

function streamKey(program: string, sequence: number): string {
  return `${program}#${sequence}`;
}
