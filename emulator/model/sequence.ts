/** State of one request in an emulated engine, from arrival to the end of its stream. */
import type { PlannedAnswer } from './answer-text.js';

export interface EngineRequest {
  tenant: string;
  program: string;
  sequence: number;
  attempt: number;
  model: string;
  /** The rendered prompt. */
  prompt: string;
  promptTokens: number;
  maxTokens: number;
  /** Requests with lower values are scheduled first. */
  priority: number;
  /** How long the program's prefix is held after the request has finished, in model milliseconds. */
  holdMs: number;
}

export type SequenceState = 'waiting' | 'prefill' | 'decode' | 'finished' | 'cancelled';

/** Token counts that are reported at the end of a request. */
export interface SequenceUsage {
  promptTokens: number;
  cachedTokens: number;
  outputTokens: number;
}

export class EngineSequence {
  state: SequenceState = 'waiting';
  /** Prompt tokens not computed yet. */
  prefillRemaining = 0;
  cachedTokens = 0;
  generatedTokens = 0;
  pinnedHashes: string[] = [];
  privateBlocks = 0;
  finishedAtMs = 0;
  private readonly listeners = new Set<() => void>();

  constructor(
    readonly request: EngineRequest,
    readonly answer: PlannedAnswer,
    readonly hashes: string[],
    readonly arrivedAtMs: number,
    readonly order: number,
  ) {}

  /** The text generated so far. */
  get text(): string {
    const characters = Math.ceil(
      (this.answer.text.length * this.generatedTokens) / Math.max(1, this.answer.tokens),
    );
    return this.answer.text.slice(0, characters);
  }

  get isOver(): boolean {
    return this.state === 'finished' || this.state === 'cancelled';
  }

  get usage(): SequenceUsage {
    const { promptTokens } = this.request;
    return { promptTokens, cachedTokens: this.cachedTokens, outputTokens: this.generatedTokens };
  }

  /** Calls `listener` after each step of the sequence; returns a function that unsubscribes it. */
  onProgress(listener: () => void): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  notify(): void {
    for (const listener of this.listeners) listener();
  }
}
