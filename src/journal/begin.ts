/**
 * The begin and restart commands, which create attempts. Both are committed before anything is sent
 * to a backend.
 */
import { countMessageTokens } from '../common/index.js';
import { coversReservation, reserve, settleReservation } from './budget.js';
import type {
  BeginCommand,
  BeginResult,
  BegunResult,
  RefusalReason,
  RefusedResult,
  RestartCommand,
  RestartResult,
} from './commands.js';
import { type JournalState, copyCall } from './journal-state.js';
import {
  type CallRecord,
  type CallRequest,
  type ProgramRecord,
  callOf,
  runningCall,
} from './program-state.js';

/** Refusal reasons for which a new submission of the same call may succeed. */
const TRANSIENT_REASONS: ReadonlySet<RefusalReason> = new Set<RefusalReason>([
  'out-of-order',
  'call-in-progress',
  'overloaded',
  'no-backend',
  'no-lease',
  'backend-refused',
  'shutting-down',
  'refused-before',
]);

export function refusal(reason: RefusalReason): RefusedResult {
  return { status: 'refused', reason, canSendAgain: TRANSIENT_REASONS.has(reason) };
}

/** Marks a submission and all earlier ones of the call as refused permanently. */
export function markRefused(program: ProgramRecord, sequence: number, submission: number): void {
  const key = String(sequence);
  program.refused[key] = Math.max(program.refused[key] ?? 0, submission);
}

export function isRefused(program: ProgramRecord, sequence: number, submission: number): boolean {
  return submission <= (program.refused[String(sequence)] ?? 0);
}

export function applyBegin(state: JournalState, command: BeginCommand): BeginResult {
  const program = state.find(command.programId, command.tenant);
  if (!program) return { status: 'unknown-program' };
  const existing = callOf(program, command.sequence);
  if (existing) return resultForExisting(state, program, existing, command);
  if (isRefused(program, command.sequence, command.submission)) return refusal('refused-before');
  const reservation = costCeiling(program, command.request, command.serviceCost);
  const reason = findRefusalReason(state, program, command, reservation);
  if (reason) {
    // The caller is told that the call did not run, so a delayed duplicate must not begin later.
    markRefused(program, command.sequence, command.submission);
    return refusal(reason);
  }
  const call: CallRecord = {
    sequence: command.sequence,
    submission: command.submission,
    requestHash: command.requestHash,
    request: command.request,
    current: {
      attempt: 1,
      token: command.token,
      gateway: command.gateway,
      backend: command.backend,
      reservation,
    },
    mayHaveRun: false,
  };
  return addCall(state, program, call);
}

export function applyRestart(state: JournalState, command: RestartCommand): RestartResult {
  const program = state.find(command.programId, command.tenant);
  const call = program && callOf(program, command.sequence);
  if (!program || !call) return { status: 'unknown-program' };
  if (call.settled) return { status: 'settled', call: copyCall(call) };
  if (call.current.token === command.token) return begunResult(state, program, call);
  const mayRestart = call.current.attempt === command.fromAttempt && call.request.isRepeatable;
  if (!mayRestart) return { status: 'running', call: copyCall(call) };
  const { reservation } = call.current;
  const chain = state.chainOf(program);
  const neverRan = command.neverRanToken === call.current.token;
  // A lost attempt may have spent its whole reservation.
  settleReservation(chain, reservation, neverRan ? 0 : reservation);
  call.mayHaveRun ||= !neverRan;
  if (!neverRan) call.lostAttempts = (call.lostAttempts ?? 0) + 1;
  if (!coversReservation(chain, reservation)) {
    call.current.reservation = 0;
    call.settled = {
      outcome: 'unknown',
      answer: 'the engine was lost and the budget does not cover another attempt',
      cost: 0,
      finishReason: 'budget-exhausted',
    };
    program.lastSettled = call.sequence;
    return { status: 'settled', call: copyCall(call) };
  }
  call.current = {
    attempt: command.fromAttempt + 1,
    token: command.token,
    gateway: command.gateway,
    backend: command.backend,
    reservation,
  };
  reserve(chain, reservation);
  recordBackend(program, call);
  return begunResult(state, program, call);
}

function resultForExisting(
  state: JournalState,
  program: ProgramRecord,
  call: CallRecord,
  command: BeginCommand,
): BeginResult {
  if (call.requestHash !== command.requestHash) {
    // The running call may be withdrawn, after which a delayed duplicate of this request must not run.
    markRefused(program, command.sequence, command.submission);
    return { status: 'conflict' };
  }
  if (call.settled) return { status: 'settled', call: copyCall(call) };
  if (call.current.token === command.token) return begunResult(state, program, call);
  return { status: 'running', call: copyCall(call) };
}

function findRefusalReason(
  state: JournalState,
  program: ProgramRecord,
  command: BeginCommand,
  reservation: number,
): RefusalReason | undefined {
  if (program.status === 'ended') return 'program-ended';
  if (command.sequence !== program.lastSettled + 1) {
    return runningCall(program) ? 'call-in-progress' : 'out-of-order';
  }
  if (command.sequence > program.limits.maxCalls) return 'call-limit';
  const repeated = command.requestHash === program.lastRequestHash ? program.repeatedCalls + 1 : 1;
  if (repeated > program.limits.maxRepeatedCalls) return 'looping';
  if (!coversReservation(state.chainOf(program), reservation)) return 'budget-exhausted';
  return undefined;
}

/** Maximum cost of one attempt of a call, in tokens. */
function costCeiling(program: ProgramRecord, request: CallRequest, serviceCost: number): number {
  if (request.kind === 'service') return serviceCost;
  const promptTokens = program.historyTokens + countMessageTokens(request.messages);
  return promptTokens + request.maxOutputTokens;
}

function addCall(state: JournalState, program: ProgramRecord, call: CallRecord): BegunResult {
  program.calls.push(call);
  const isRepeat = call.requestHash === program.lastRequestHash;
  program.repeatedCalls = isRepeat ? program.repeatedCalls + 1 : 1;
  program.lastRequestHash = call.requestHash;
  program.lastActivityMs = state.clockMs;
  delete program.refused[String(call.sequence)];
  reserve(state.chainOf(program), call.current.reservation);
  recordBackend(program, call);
  return begunResult(state, program, call);
}

function recordBackend(program: ProgramRecord, call: CallRecord): void {
  if (call.request.kind !== 'model') return;
  if (!program.backends.includes(call.current.backend)) {
    program.backends.push(call.current.backend);
  }
}

function begunResult(state: JournalState, program: ProgramRecord, call: CallRecord): BegunResult {
  const root = state.chainOf(program).at(-1)!;
  return {
    status: 'begun',
    call: copyCall(call),
    model: program.model,
    promptTokens: program.historyTokens + countMessageTokens(call.request.messages),
    attainedService: root.spent,
    previousBackend: previousBackend(program, call.sequence),
  };
}

function previousBackend(program: ProgramRecord, sequence: number): string | undefined {
  const earlier = program.calls.filter(
    (call) => call.sequence < sequence && call.request.kind === 'model',
  );
  return earlier.at(-1)?.current.backend;
}
