/** The finish, withdraw and refuse commands, which end calls. */
import { countTokens, renderMessage, countMessageTokens } from '../common/index.js';
import { isRefused, markRefused, refusal } from './begin.js';
import { correctSpending, settleReservation } from './budget.js';
import type {
  FinishCommand,
  FinishResult,
  RefuseCommand,
  RefuseResult,
  WithdrawCommand,
} from './commands.js';
import { type JournalState, copyCall } from './journal-state.js';
import { type CallRecord, type ProgramRecord, callOf } from './program-state.js';

export function applyFinish(state: JournalState, command: FinishCommand): FinishResult {
  const program = state.find(command.programId, command.tenant);
  const call = program && callOf(program, command.sequence);
  if (!program || !call) return { status: 'unknown-program' };
  // An attempt that ended after its program may have cached its prefix in the backend again.
  if (program.status === 'ended') state.requestRelease(program.id, command.backends);
  if (call.current.attempt !== command.attempt) {
    return { status: call.settled ? 'settled' : 'running', call: copyCall(call) };
  }
  if (call.settled) {
    replaceUnknown(state, program, call, command);
    return { status: 'settled', call: copyCall(call) };
  }
  settle(state, program, call, command);
  return { status: 'settled', call: copyCall(call) };
}

export function applyWithdraw(state: JournalState, command: WithdrawCommand): RefuseResult {
  const program = state.find(command.programId, command.tenant);
  const call = program && callOf(program, command.sequence);
  if (!program) return { status: 'unknown-program' };
  if (!call) return refusal(command.reason);
  if (call.settled) return { status: 'settled', call: copyCall(call) };
  // Only the gateway of the attempt can withdraw it, and only if no earlier attempt may have run.
  const isOwn = call.current.attempt === command.attempt && call.current.token === command.token;
  if (!isOwn || call.mayHaveRun) return { status: 'running', call: copyCall(call) };
  settleReservation(state.chainOf(program), call.current.reservation, 0);
  program.calls.pop();
  markRefused(program, command.sequence, call.submission);
  return refusal(command.reason);
}

export function applyRefuse(state: JournalState, command: RefuseCommand): RefuseResult {
  const program = state.find(command.programId, command.tenant);
  if (!program) return { status: 'unknown-program' };
  const call = callOf(program, command.sequence);
  if (call?.settled) return { status: 'settled', call: copyCall(call) };
  if (call) return { status: 'running', call: copyCall(call) };
  if (!isRefused(program, command.sequence, command.submission)) {
    markRefused(program, command.sequence, command.submission);
  }
  return refusal(command.reason);
}

/** Settles a running call as `unknown`, for example because its program ends. */
export function settleAsUnknown(
  state: JournalState,
  program: ProgramRecord,
  call: CallRecord,
  explanation: string,
): void {
  const { reservation } = call.current;
  settleReservation(state.chainOf(program), reservation, reservation);
  call.settled = {
    outcome: 'unknown',
    answer: explanation,
    cost: reservation,
    finishReason: 'unknown',
  };
  program.lastSettled = call.sequence;
}

function settle(
  state: JournalState,
  program: ProgramRecord,
  call: CallRecord,
  command: FinishCommand,
): void {
  const { reservation } = call.current;
  // An unknown outcome is charged with the whole reservation.
  const cost = command.outcome === 'unknown' ? reservation : Math.min(command.cost, reservation);
  settleReservation(state.chainOf(program), reservation, cost);
  const { outcome, answer, finishReason } = command;
  call.settled = { outcome, answer, cost, finishReason };
  program.lastSettled = call.sequence;
  program.lastActivityMs = state.clockMs;
  if (outcome === 'completed') extendHistory(program, call, answer);
}

/** Replaces `unknown` by a late answer of the same attempt, unless the program has made further calls. */
function replaceUnknown(
  state: JournalState,
  program: ProgramRecord,
  call: CallRecord,
  command: FinishCommand,
): void {
  const settled = call.settled!;
  const resolvesUnknown = settled.outcome === 'unknown' && command.outcome === 'completed';
  if (!resolvesUnknown || call.sequence !== program.calls.at(-1)?.sequence) return;
  const cost = Math.min(command.cost, settled.cost);
  correctSpending(state.chainOf(program), cost - settled.cost);
  const { answer, finishReason } = command;
  call.settled = { outcome: 'completed', answer, cost, finishReason };
  extendHistory(program, call, answer);
}

function extendHistory(program: ProgramRecord, call: CallRecord, answer: string): void {
  if (call.request.kind !== 'model') return;
  const reply = renderMessage({ role: 'assistant', content: answer });
  program.historyTokens += countMessageTokens(call.request.messages) + countTokens(reply);
}
