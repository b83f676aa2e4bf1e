/** Typed client of the journal groups for gateways. */
import type { GroupClient, TryResult } from '../consensus/index.js';
import type {
  BeginCommand,
  BeginResult,
  CallResponse,
  EndCommand,
  EndResult,
  FinishCommand,
  FinishResult,
  HistoryResponse,
  JournalCommand,
  JournalQuery,
  OpenCommand,
  OpenResult,
  ProgramResponse,
  RefuseCommand,
  RefuseResult,
  RestartCommand,
  RestartResult,
  WithdrawCommand,
} from './commands.js';
import { AWAIT_SETTLED, type AwaitSettledResponse } from './messages.js';
import { journalGroupOf } from './program-id.js';

/** Time beyond the wait itself that one member may take to respond, in milliseconds. */
const AWAIT_RESPONSE_MS = 700;

export interface JournalClientOptions {
  groups: GroupClient;
  groupCount: number;
  /** Timeout of one command, in milliseconds. */
  timeoutMs: number;
}

export class JournalClient {
  constructor(private readonly options: JournalClientOptions) {}

  open(command: OpenCommand): Promise<OpenResult> {
    return this.execute(command);
  }

  begin(command: BeginCommand): Promise<BeginResult> {
    return this.execute(command);
  }

  restart(command: RestartCommand): Promise<RestartResult> {
    return this.execute(command);
  }

  finish(command: FinishCommand): Promise<FinishResult> {
    return this.execute(command);
  }

  withdraw(command: WithdrawCommand): Promise<RefuseResult> {
    return this.execute(command);
  }

  /** @param timeoutMs timeout of the command. @default the client's timeout */
  refuse(command: RefuseCommand, timeoutMs?: number): Promise<RefuseResult> {
    return this.execute(command, timeoutMs);
  }

  end(command: EndCommand): Promise<EndResult> {
    return this.execute(command);
  }

  readProgram(programId: string, tenant: string): Promise<ProgramResponse> {
    return this.query({ type: 'program', programId, tenant });
  }

  readCall(programId: string, tenant: string, sequence: number): Promise<CallResponse> {
    return this.query({ type: 'call', programId, tenant, sequence });
  }

  readHistory(programId: string, tenant: string, afterSequence: number): Promise<HistoryResponse> {
    return this.query({ type: 'history', programId, tenant, afterSequence });
  }

  /** Waits at most `waitMs` for a call to settle, then returns its current state. */
  async awaitSettled(
    programId: string,
    tenant: string,
    sequence: number,
    waitMs: number,
  ): Promise<CallResponse> {
    const { groups, groupCount, timeoutMs } = this.options;
    const group = journalGroupOf(programId, groupCount);
    const request = { group, programId, tenant, sequence, waitMs };
    const tryTimeoutMs = waitMs + AWAIT_RESPONSE_MS;
    const limits = { timeoutMs: waitMs + timeoutMs, tryTimeoutMs };
    return groups.callWithRedirect(group, AWAIT_SETTLED, request, readAwaitSettled, limits);
  }

  private execute<Result>(
    command: JournalCommand & { programId: string },
    timeoutMs = this.options.timeoutMs,
  ): Promise<Result> {
    const { groups, groupCount } = this.options;
    const group = journalGroupOf(command.programId, groupCount);
    return groups.execute<JournalCommand, Result>(group, command, { timeoutMs });
  }

  private query<Answer>(query: JournalQuery & { programId: string }): Promise<Answer> {
    const { groups, groupCount, timeoutMs } = this.options;
    const group = journalGroupOf(query.programId, groupCount);
    return groups.query<JournalQuery, Answer>(group, query, { timeoutMs });
  }
}

function readAwaitSettled(response: AwaitSettledResponse): TryResult<CallResponse> {
  if (response.answer) return { response: response.answer };
  return { leaderAddress: response.leaderAddress, refusal: 'not the leader' };
}
