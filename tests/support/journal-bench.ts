/** A journal without a cluster: commands are applied directly to the state machine. */
import { countMessageTokens } from '../../src/common/index.js';
import type {
  BeginCommand,
  BeginResult,
  FinishCommand,
  JournalCommand,
  OpenCommand,
  RestartCommand,
  TimestampedCommand,
} from '../../src/journal/commands.js';
import { JournalStateMachine } from '../../src/journal/journal-state-machine.js';
import { createProgramId } from '../../src/journal/program-id.js';
import { answerJournalQuery } from '../../src/journal/queries.js';
import { encodeValue } from '../../src/wire/index.js';

export const TENANT = 'health';
const MESSAGES = [{ role: 'user', content: 'why does the build fail?' }];
export const PROMPT_TOKENS = countMessageTokens(MESSAGES);
const OUTPUT_TOKENS = 100;
/** Maximum cost of one call, in tokens. */
export const MAX_CALL_COST = PROMPT_TOKENS + OUTPUT_TOKENS;
export const LIMITS = { maxCalls: 10, maxDepth: 2, maxRepeatedCalls: 3, idleTimeoutMs: 60_000 };
const GATEWAY = { id: 'gateway-1', incarnation: 'a' };

export class JournalBench {
  machine = new JournalStateMachine(() => undefined);
  private clockMs = 0;
  private tokens = 0;

  reset(): void {
    this.machine = new JournalStateMachine(() => undefined);
    this.clockMs = 0;
    this.tokens = 0;
  }

  readonly apply = <Result>(command: JournalCommand, atMs = (this.clockMs += 1)): Result => {
    return this.machine.apply(
      encodeValue({ atMs, command } satisfies TimestampedCommand),
    ) as Result;
  };

  readonly open = (overrides: Partial<OpenCommand> = {}): string => {
    const programId = overrides.programId ?? createProgramId(TENANT, overrides.parent, undefined);
    const command: OpenCommand = {
      type: 'open',
      tenant: TENANT,
      model: 'm',
      budget: 10_000,
      deadlineMs: 1_000_000,
      limits: LIMITS,
      ...overrides,
      programId,
    };
    this.apply(command);
    return programId;
  };

  readonly beginCommand = (
    programId: string,
    sequence: number,
    overrides: Partial<BeginCommand> = {},
  ): BeginCommand => {
    return {
      type: 'begin',
      programId,
      tenant: TENANT,
      sequence,
      submission: 1,
      requestHash: `hash-${sequence}`,
      request: {
        kind: 'model',
        messages: MESSAGES,
        maxOutputTokens: OUTPUT_TOKENS,
        isRepeatable: true,
      },
      token: `token-${(this.tokens += 1)}`,
      gateway: GATEWAY,
      backend: 'engine-1',
      serviceCost: 0,
      ...overrides,
    };
  };

  readonly begin = (
    programId: string,
    sequence: number,
    overrides: Partial<BeginCommand> = {},
  ): BeginResult => {
    return this.apply(this.beginCommand(programId, sequence, overrides));
  };

  readonly finish = (
    programId: string,
    sequence: number,
    overrides: Partial<FinishCommand> = {},
  ): unknown => {
    return this.apply({
      type: 'finish',
      programId,
      tenant: TENANT,
      sequence,
      attempt: 1,
      outcome: 'completed',
      answer: 'because of a typo',
      cost: PROMPT_TOKENS + 10,
      finishReason: 'stop',
      backends: ['engine-1'],
      ...overrides,
    });
  };

  readonly restart = (
    programId: string,
    sequence: number,
    overrides: Partial<RestartCommand>,
  ): BeginResult => {
    return this.apply({
      type: 'restart',
      programId,
      tenant: TENANT,
      sequence,
      fromAttempt: 1,
      token: `token-${(this.tokens += 1)}`,
      gateway: GATEWAY,
      backend: 'engine-2',
      ...overrides,
    });
  };

  readonly summary = (programId: string): { spent: number; reserved: number; status: string } => {
    const query = { type: 'program' as const, programId, tenant: TENANT };
    const answer = answerJournalQuery(this.machine.state, query) as {
      program: { spent: number; reserved: number; status: string };
    };
    return answer.program;
  };
}
