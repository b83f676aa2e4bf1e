/** Runs a planned program as a caller, and verifies the answers. */
import { expectedAnswer } from '../../emulator/model/answer-text.js';
import { expectedServiceAnswer } from '../../emulator/service/service-server.js';
import {
  CallFailedError,
  CallPendingError,
  type Program,
  type ProgramClient,
} from '../../src/client/index.js';
import { type ChatMessage, countMessageTokens, sleep } from '../../src/common/index.js';
import type { ModelTurn, ProgramPlan, ServiceTurn, Turn } from './program-plan.js';
import type {
  ObservedCall,
  ObservedOutcome,
  ObservedProgram,
  WorkloadRecorder,
} from './recorder.js';

export interface ProgramRunnerOptions {
  clientOf: (tenant: string) => ProgramClient;
  recorder: WorkloadRecorder;
  /** Stops the program before its next turn when aborted. */
  signal?: AbortSignal;
}

/** Thrown to stop a program that was aborted or whose sub-agent did not complete. */
class ProgramStopped extends Error {}

export class ProgramRunner {
  private readonly history: ChatMessage[] = [];
  private program!: Program;
  private observed!: ObservedProgram;
  private knownPrefixTokens = 0;

  constructor(
    private readonly plan: ProgramPlan,
    private readonly options: ProgramRunnerOptions,
    private readonly parent?: string,
  ) {}

  /** Runs and ends the program; resolves with whether all its calls completed. */
  async run(submittedAtMs: number = Date.now()): Promise<boolean> {
    const { tenant, className, model, budget, systemPrompt } = this.plan;
    this.observed = {
      id: '',
      className,
      tenant,
      submittedAtMs,
      lastAnswerAtMs: submittedAtMs,
      endedAtMs: 0,
      budget,
      isRoot: this.parent === undefined,
      isComplete: false,
      isEnded: false,
      pausedMs: 0,
    };
    try {
      const client = this.options.clientOf(tenant);
      this.program = await client.openProgram({ model, budget, parent: this.parent });
      this.observed.id = this.program.id;
      this.history.push({ role: 'system', content: systemPrompt });
      for (const turn of this.plan.turns) await this.runTurn(turn);
      this.observed.isComplete = true;
    } catch (error) {
      const isExpected =
        error instanceof ProgramStopped ||
        error instanceof CallFailedError ||
        error instanceof CallPendingError;
      if (!isExpected) throw error;
    }
    await this.end();
    this.options.recorder.recordProgram(this.observed);
    return this.observed.isComplete;
  }

  private async end(): Promise<void> {
    this.observed.endedAtMs = Date.now();
    if (this.observed.id === '') return;
    try {
      await this.program.end();
      this.observed.isEnded = true;
    } catch (error) {
      const isExpected = error instanceof CallFailedError || error instanceof CallPendingError;
      if (!isExpected) throw error;
      this.observed.isComplete = false;
    }
  }

  private async runTurn(turn: Turn): Promise<void> {
    if (this.options.signal?.aborted) throw new ProgramStopped();
    switch (turn.kind) {
      case 'model':
        return this.runModelTurn(turn);
      case 'service':
        return this.runServiceTurn(turn);
      case 'pause':
        this.observed.pausedMs += turn.durationMs;
        return sleep(turn.durationMs, this.options.signal);
      case 'spawn':
        return this.runSubAgents(turn.children);
    }
  }

  private async runModelTurn(turn: ModelTurn): Promise<void> {
    const isFirst = !this.history.some((message) => message.role === 'user');
    const userMessage: ChatMessage = { role: 'user', content: turn.text };
    const delta = isFirst ? [...this.history, userMessage] : [userMessage];
    const fullHistory = [...this.history, userMessage];
    const { model } = this.plan;
    const observed = this.startCall('model', true);
    observed.knownPrefixTokens = this.knownPrefixTokens;
    const answer = await this.observe(observed, () => this.program.call(delta, turn.maxTokens));
    observed.isCorrect = answer.content === expectedAnswer(model, fullHistory, turn.maxTokens);
    this.options.recorder.recordCall(observed);
    this.history.push(userMessage, { role: 'assistant', content: answer.content });
    this.knownPrefixTokens = countMessageTokens(this.history);
  }

  private async runServiceTurn(turn: ServiceTurn): Promise<void> {
    const { service, operation, payload, isRepeatable } = turn;
    const observed = this.startCall('service', isRepeatable);
    observed.service = service;
    observed.payload = payload;
    const answer = await this.observe(observed, () =>
      this.program.callService({ name: service, operation, payload, repeatable: isRepeatable }),
    );
    observed.isCorrect = answer.content === expectedServiceAnswer(service, operation, payload);
    this.options.recorder.recordCall(observed);
  }

  private async runSubAgents(children: ProgramPlan[]): Promise<void> {
    const { id } = this.program;
    const results = await Promise.all(
      children.map((child) => new ProgramRunner(child, this.options, id).run()),
    );
    if (results.includes(false)) throw new ProgramStopped();
  }

  private startCall(kind: ObservedCall['kind'], isRepeatable: boolean): ObservedCall {
    return {
      program: this.program.id,
      tenant: this.plan.tenant,
      sequence: this.program.upcomingSequence,
      kind,
      isRepeatable,
      startedAtMs: Date.now(),
      endedAtMs: 0,
      outcome: 'pending',
      isCorrect: false,
      cost: 0,
      knownPrefixTokens: 0,
      exchanges: 0,
    };
  }

  private async observe(
    observed: ObservedCall,
    work: () => ReturnType<Program['call']>,
  ): ReturnType<Program['call']> {
    try {
      const answer = await work();
      observed.outcome = 'completed';
      observed.answer = answer.content;
      observed.endedAtMs = Date.now();
      observed.usage = answer.usage;
      observed.cost = answer.cost;
      observed.firstTokenMs = answer.firstTokenMs;
      observed.exchanges = answer.exchanges;
      this.observed.lastAnswerAtMs = observed.endedAtMs;
      return answer;
    } catch (error) {
      observed.outcome = classifyError(error);
      observed.endedAtMs = Date.now();
      if (error instanceof CallFailedError) observed.problemCode = error.problem.code;
      // Only answers that were received can be incorrect.
      observed.isCorrect = true;
      this.options.recorder.recordCall(observed);
      throw error;
    }
  }
}

function classifyError(error: unknown): ObservedOutcome {
  if (!(error instanceof CallFailedError)) return 'pending';
  return error.problem.outcome === 'not_run' ? 'not_run' : 'unknown';
}
