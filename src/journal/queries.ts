/** Queries of the journal's state. Results are copies. */
import type {
  CallResponse,
  EndedProgramsResponse,
  HistoryResponse,
  HistoryTurn,
  JournalQuery,
  JournalStatistics,
  ProgramResponse,
} from './commands.js';
import { isRefused, refusal } from './begin.js';
import { type JournalState, copyCall } from './journal-state.js';
import { summarize } from './lifecycle.js';
import { callOf } from './program-state.js';

export function answerJournalQuery(
  state: JournalState,
  query: JournalQuery,
): ProgramResponse | CallResponse | HistoryResponse | EndedProgramsResponse | JournalStatistics {
  switch (query.type) {
    case 'program':
      return answerProgram(state, query.programId, query.tenant);
    case 'call':
      return answerCall(state, query.programId, query.tenant, query.sequence);
    case 'history':
      return answerHistory(state, query.programId, query.tenant, query.afterSequence);
    case 'ended-programs':
      return { programIds: query.programIds.filter((id) => hasEnded(state, id)) };
    case 'statistics':
      return answerStatistics(state);
  }
}

function answerProgram(state: JournalState, programId: string, tenant: string): ProgramResponse {
  const program = state.find(programId, tenant);
  if (!program) return { status: 'unknown-program' };
  return { status: 'found', program: summarize(program) };
}

function answerCall(
  state: JournalState,
  programId: string,
  tenant: string,
  sequence: number,
): CallResponse {
  const program = state.find(programId, tenant);
  if (!program) return { status: 'unknown-program' };
  const call = callOf(program, sequence);
  if (call) return { status: call.settled ? 'settled' : 'running', call: copyCall(call) };
  if (isRefused(program, sequence, 1)) return refusal('refused-before');
  return { status: 'unknown-call' };
}

function answerHistory(
  state: JournalState,
  programId: string,
  tenant: string,
  afterSequence: number,
): HistoryResponse {
  const program = state.find(programId, tenant);
  if (!program) return { status: 'unknown-program' };
  const turns: HistoryTurn[] = program.calls
    .slice(afterSequence)
    .filter((call) => call.request.kind === 'model' && call.settled?.outcome === 'completed')
    .map((call) => ({
      sequence: call.sequence,
      messages: call.request.messages,
      answer: call.settled!.answer,
    }));
  return { status: 'found', turns };
}

function hasEnded(state: JournalState, programId: string): boolean {
  return state.programs.get(programId)?.status !== 'open';
}

function answerStatistics(state: JournalState): JournalStatistics {
  const programs = [...state.programs.values()];
  return {
    programs: programs.length,
    openPrograms: programs.filter((program) => program.status === 'open').length,
    pendingReleases: state.releases.size,
    calls: programs.reduce((sum, program) => sum + program.calls.length, 0),
  };
}
