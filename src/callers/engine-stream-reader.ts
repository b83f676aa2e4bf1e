/**
 * Reads the response stream of one attempt from its engine: sends the attempt or resumes an interrupted
 * stream, until the stream has ended or the engine is lost.
 */
import {
  type Backend,
  BackendError,
  BackendLostError,
  BackendProtocolError,
  type EngineChunk,
  type EngineStreamEnd,
  AttemptFencedError,
  StreamUnknownError,
} from '../backends/index.js';
import { countMessageTokens, monotonicMs, sleep } from '../common/index.js';
import type { BegunResult, CallRecord } from '../journal/index.js';
import { enginePriority } from '../scheduling/index.js';
import type { CallContext, CallSpecification } from './call-context.js';
import type { CallExecution } from './call-execution.js';

/** Result of streaming one attempt. */
export type StreamEnd =
  | { kind: 'finished'; end: EngineStreamEnd }
  /** `neverRan`: the engine is known not to have accepted the attempt. */
  | { kind: 'lost'; neverRan: boolean }
  | { kind: 'fenced' };

const RESUME_DELAY_MS = 50;

export interface EngineStreamReaderOptions {
  context: CallContext;
  specification: CallSpecification;
  /** Receives the streamed text. */
  execution: CallExecution;
  /** Monotonic time at which the call arrived, in milliseconds. */
  arrivedAt: number;
}

export class EngineStreamReader {
  private readonly context: CallContext;
  private readonly specification: CallSpecification;
  private readonly execution: CallExecution;

  constructor(private readonly options: EngineStreamReaderOptions) {
    this.context = options.context;
    this.specification = options.specification;
    this.execution = options.execution;
  }

  /** Sends an attempt that is recorded in the journal, and reads its stream. */
  readDispatched(backend: Backend, begun: BegunResult): Promise<StreamEnd> {
    return this.read(backend, begun.call, () => this.dispatch(begun, backend));
  }

  /** Resumes the stream of an attempt that was sent before. */
  readResumed(backend: Backend, call: CallRecord): Promise<StreamEnd> {
    return this.read(backend, call, () => this.resume(backend, call));
  }

  private async *dispatch(begun: BegunResult, backend: Backend): AsyncGenerator<EngineChunk> {
    const { context, specification } = this;
    const { programId: program, tenant, sequence, request } = specification;
    const { attempt, reservation } = begun.call.current;
    const ownTokens = countMessageTokens(request.messages);
    const historyTokens = begun.promptTokens - ownTokens;
    const history = await context.histories.read(program, tenant, sequence, historyTokens);
    const { policy } = context.settings.queue;
    const holdMs = context.holds.holdMs({
      prefixTokens: begun.promptTokens,
      callCount: sequence,
    });
    // Checked right before sending, because the process may have been paused until its lease expired.
    if (!context.lease.isHeld) throw new LeaseLostError();
    yield* context.engines.complete(context.resolveAddress(backend.intent.address), {
      tenant,
      program,
      sequence,
      attempt,
      model: begun.model,
      messages: [...history, ...request.messages],
      maxTokens: request.maxOutputTokens,
      priority: enginePriority(policy, begun.attainedService),
      costCeiling: reservation,
      holdMs,
    });
  }

  private resume(backend: Backend, call: CallRecord): AsyncGenerator<EngineChunk> {
    const { context, specification, execution } = this;
    const { programId: program, sequence } = specification;
    const stream = { program, sequence, attempt: call.current.attempt };
    const address = context.resolveAddress(backend.intent.address);
    return context.engines.resume(address, stream, execution.text.length);
  }

  /**
   * Reads an attempt's stream to its end. Resumes a broken stream until the engine has been unreachable
   * for the grace period, or reports that it does not know the stream.
   */
  private async read(
    backend: Backend,
    call: CallRecord,
    open: () => AsyncGenerator<EngineChunk>,
  ): Promise<StreamEnd> {
    const graceMs = this.context.settings.calls.takeoverGrace;
    let deadline = monotonicMs() + graceMs;
    let source = open;
    let mayHaveRun = false;
    for (;;) {
      const lengthBefore = this.execution.text.length;
      try {
        const end = await this.consume(source(), backend);
        backend.breaker.noteSuccess();
        if (end.load) backend.noteReport(end.load);
        return { kind: 'finished', end };
      } catch (error) {
        if (error instanceof LeaseLostError) return { kind: 'lost', neverRan: !mayHaveRun };
        if (!(error instanceof BackendError)) throw error;
        this.noteError(backend, error);
        if (error instanceof AttemptFencedError) return { kind: 'fenced' };
        mayHaveRun ||= error.mayHaveRun;
        if (!mayHaveRun) return { kind: 'lost', neverRan: true };
        if (error instanceof StreamUnknownError) return { kind: 'lost', neverRan: false };
        if (error instanceof BackendProtocolError) this.execution.restart();
        if (this.execution.text.length > lengthBefore) deadline = monotonicMs() + graceMs;
        if (monotonicMs() >= deadline) return { kind: 'lost', neverRan: false };
      }
      await sleep(RESUME_DELAY_MS);
      this.context.metrics.resumedStreams.inc();
      source = () => this.resume(backend, call);
    }
  }

  private async consume(
    chunks: AsyncGenerator<EngineChunk>,
    backend: Backend,
  ): Promise<EngineStreamEnd> {
    const startedAt = monotonicMs();
    let isFirst = this.execution.text.length === 0;
    for await (const chunk of chunks) {
      if (isFirst && chunk.text.length > 0) {
        isFirst = false;
        backend.limit.noteLatency(monotonicMs() - startedAt);
        this.context.metrics.firstToken.observe((monotonicMs() - this.options.arrivedAt) / 1_000);
      }
      this.execution.append(chunk.text);
      if (chunk.end) return chunk.end;
    }
    throw new BackendLostError('stream ended without a final chunk', {
      step: 'engine.stream',
      peer: backend.id,
    });
  }

  private noteError(backend: Backend, error: BackendError): void {
    this.context.metrics.backendErrors.inc({ backend: backend.id, error: error.name });
    if (error instanceof AttemptFencedError || error instanceof StreamUnknownError) return;
    backend.breaker.noteFailure();
    if (!error.mayHaveRun) backend.limit.noteRefusal();
  }
}

/** The configuration lease expired before the attempt was sent. */
class LeaseLostError extends Error {}
