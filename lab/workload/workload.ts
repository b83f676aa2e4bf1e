/**
 * Generates seeded mixes of programs for both deployments: heavy-tailed numbers of turns, sub-agents,
 * tool pauses and small service calls.
 */
import { SeededRandom } from '../../src/common/index.js';
import type { Deployment } from '../fleet/topology.js';
import type { ModelTurn, PauseTurn, ProgramPlan, ServiceTurn, Turn } from './program-plan.js';

export interface WorkloadOptions {
  deployment: Deployment;
  seed: number;
  /** Wall-clock time per unit of model time; also scales pauses. */
  timeScale: number;
  /** Factor for the lengths of prompts; below 1 for short runs. */
  sizeScale: number;
}

const WORD_LETTERS = 'abcdefghijklmnopqrstuvwxyz';
const BUDGET = 5_000_000;

/** Sizes in tokens and times in milliseconds of model time. */
const SYSTEM_PROMPT_TOKENS = 1_200;
const MIN_TURN_TOKENS = 60;
const TURN_TOKENS_EXPONENT = 1.7;
const MAX_TURN_TOKENS = 4_000;
const MAX_OUTPUT_TOKENS = 256;
const MEAN_PAUSE_MS = 1_500;
const LONG_PAUSE_MS = 20_000;
const MAX_TURNS = 30;

export class Workload {
  private readonly random: SeededRandom;
  private readonly systemPrompts = new Map<string, string>();
  private payloadCount = 0;

  constructor(private readonly options: WorkloadOptions) {
    this.random = new SeededRandom(options.seed);
    for (const tenant of options.deployment.tenants) {
      const tokens = Math.round(SYSTEM_PROMPT_TOKENS * options.sizeScale);
      this.systemPrompts.set(tenant, `You work for ${tenant}. ${this.text(tokens)}`);
    }
  }

  nextProgram(): ProgramPlan {
    const tenant = this.random.pick(this.options.deployment.tenants);
    return this.options.deployment.name === 'pipeline'
      ? this.nextReview(tenant)
      : this.nextPayroll(tenant);
  }

  private nextReview(tenant: string): ProgramPlan {
    const draw = this.random.uniform();
    if (draw < 0.45) {
      return this.program('lint', tenant, [this.service('build-status'), this.modelTurn()]);
    }
    const turns = this.agentTurns(draw < 0.85 ? 3 : 5);
    if (draw >= 0.85) turns.splice(2, 0, this.spawn(tenant));
    turns.push(this.service('post-status', false));
    return this.program(draw < 0.85 ? 'walk' : 'branch', tenant, turns);
  }

  private nextPayroll(tenant: string): ProgramPlan {
    const draw = this.random.uniform();
    if (draw < 0.25) {
      return this.program('payslip', tenant, [this.service('payslip'), this.modelTurn()]);
    }
    const turns = this.agentTurns(draw < 0.8 ? 3 : 4);
    if (draw >= 0.8) turns.splice(2, 0, this.longPause());
    if (draw >= 0.9) turns.splice(1, 0, this.spawn(tenant));
    turns.push(this.service('pay-worker', false));
    return this.program(draw < 0.8 ? 'monthly' : 'severance', tenant, turns);
  }

  /** Creates a heavy-tailed number of model calls with tool pauses in between. */
  private agentTurns(minimum: number): Turn[] {
    const count = Math.min(MAX_TURNS, Math.round(this.random.pareto(minimum, 1.5)));
    const turns: Turn[] = [];
    for (let index = 0; index < count; index += 1) {
      if (index > 0) turns.push(this.pause());
      if (this.random.chance(0.25)) turns.push(this.service(this.readServiceName()));
      turns.push(this.modelTurn());
    }
    return turns;
  }

  private spawn(tenant: string): Turn {
    const count = this.random.integer(2, 4);
    const children = Array.from({ length: count }, () =>
      this.program('sub-agent', tenant, this.agentTurns(1).slice(0, 5)),
    );
    return { kind: 'spawn', children };
  }

  private program(className: string, tenant: string, turns: Turn[]): ProgramPlan {
    const { model } = this.options.deployment;
    const systemPrompt = this.systemPrompts.get(tenant)!;
    return { className, tenant, model, systemPrompt, budget: BUDGET, turns };
  }

  private modelTurn(): ModelTurn {
    const drawn = this.random.pareto(MIN_TURN_TOKENS, TURN_TOKENS_EXPONENT);
    const tokens = Math.min(MAX_TURN_TOKENS, drawn) * this.options.sizeScale;
    return { kind: 'model', text: this.text(Math.ceil(tokens)), maxTokens: MAX_OUTPUT_TOKENS };
  }

  private service(service: string, isRepeatable = true): ServiceTurn {
    this.payloadCount += 1;
    const payload = `${service}-${this.options.seed}-${this.payloadCount}`;
    const operation = isRepeatable ? 'read' : 'write';
    return { kind: 'service', service, operation, payload, isRepeatable };
  }

  private readServiceName(): string {
    return this.options.deployment.name === 'pipeline' ? 'log-fetch' : 'portal-status';
  }

  private pause(): PauseTurn {
    const modelMs = this.random.exponential(MEAN_PAUSE_MS);
    return { kind: 'pause', durationMs: modelMs * this.options.timeScale };
  }

  private longPause(): PauseTurn {
    const modelMs = this.random.exponential(LONG_PAUSE_MS);
    return { kind: 'pause', durationMs: modelMs * this.options.timeScale };
  }

  private text(tokens: number): string {
    const words: string[] = [];
    for (let index = 0; index < tokens; index += 1) {
      const letters = [1, 2, 3].map(() => WORD_LETTERS[this.random.integer(0, 25)]!);
      words.push(letters.join(''));
    }
    return words.join(' ');
  }
}
