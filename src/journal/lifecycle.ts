/** Opening and ending of programs, and the sweep that ends and removes them. */
import { refusal } from './begin.js';
import type {
  EndCommand,
  EndResult,
  OpenCommand,
  OpenResult,
  ProgramSummary,
  ReleasedCommand,
} from './commands.js';
import type { JournalState } from './journal-state.js';
import { depthOf } from './program-id.js';
import { type EndReason, type ProgramRecord, runningCall } from './program-state.js';
import { settleAsUnknown } from './settle.js';

/** Journal time for which an ended program remains readable, in milliseconds. */
const RETENTION_MS = 10 * 60 * 1_000;

export function summarize(program: ProgramRecord): ProgramSummary {
  const { calls, refused: _refused, children: _children, ...rest } = program;
  return { ...rest, callCount: calls.length };
}

export function applyOpen(state: JournalState, command: OpenCommand): OpenResult {
  const existing = state.programs.get(command.programId);
  if (existing) {
    const isSame = existing.tenant === command.tenant && existing.model === command.model;
    return isSame ? { status: 'opened', program: summarize(existing) } : { status: 'conflict' };
  }
  const parent =
    command.parent === undefined ? undefined : state.find(command.parent, command.tenant);
  if (command.parent !== undefined && parent?.status !== 'open') {
    return refusal('parent-unavailable');
  }
  const maxDepth = parent?.limits.maxDepth ?? command.limits.maxDepth;
  if (depthOf(command.programId) > maxDepth) return refusal('depth-limit');
  const program = createProgram(state, command, parent);
  state.programs.set(program.id, program);
  parent?.children.push(program.id);
  return { status: 'opened', program: summarize(program) };
}

export function applyEnd(state: JournalState, command: EndCommand): EndResult {
  const program = state.find(command.programId, command.tenant);
  if (!program) return { status: 'unknown-program' };
  endProgram(state, program, command.reason);
  return { status: 'ended' };
}

export function applyReleased(state: JournalState, command: ReleasedCommand): EndResult {
  state.confirmRelease(command.programId, command.backend);
  return { status: 'ended' };
}

export function applySweep(state: JournalState): EndResult {
  const now = state.clockMs;
  for (const program of state.programs.values()) {
    if (program.status === 'open') {
      const reason = dueEndReason(program, now);
      if (reason) endProgram(state, program, reason);
    } else if (canRemove(state, program, now)) {
      state.programs.delete(program.id);
    }
  }
  return { status: 'ended' };
}

/** Whether a sweep would end or remove a program now. */
export function needsSweep(state: JournalState, now: number): boolean {
  for (const program of state.programs.values()) {
    if (program.status === 'open' && dueEndReason(program, now)) return true;
    if (program.status === 'ended' && canRemove(state, program, now)) return true;
  }
  return false;
}

function dueEndReason(program: ProgramRecord, now: number): EndReason | undefined {
  if (now >= program.deadlineAtMs) return 'deadline';
  const isIdle = now - program.lastActivityMs >= program.limits.idleTimeoutMs;
  return isIdle && !runningCall(program) ? 'idle' : undefined;
}

function canRemove(state: JournalState, program: ProgramRecord, now: number): boolean {
  const isOld = now - (program.endedAtMs ?? now) >= RETENTION_MS;
  return isOld && !state.releases.has(program.id);
}

function endProgram(state: JournalState, program: ProgramRecord, reason: EndReason): void {
  if (program.status === 'ended') return;
  const call = runningCall(program);
  if (call) settleAsUnknown(state, program, call, `the program ended: ${reason}`);
  program.status = 'ended';
  program.endReason = reason;
  program.endedAtMs = state.clockMs;
  state.requestRelease(program.id, program.backends);
  for (const childId of program.children) {
    const child = state.programs.get(childId);
    if (child) endProgram(state, child, 'parent-ended');
  }
}

function createProgram(
  state: JournalState,
  command: OpenCommand,
  parent: ProgramRecord | undefined,
): ProgramRecord {
  const deadlineAtMs = state.clockMs + command.deadlineMs;
  return {
    id: command.programId,
    tenant: command.tenant,
    parent: parent?.id,
    model: command.model,
    status: 'open',
    budget: command.budget,
    spent: 0,
    reserved: 0,
    limits: command.limits,
    deadlineAtMs: Math.min(deadlineAtMs, parent?.deadlineAtMs ?? deadlineAtMs),
    lastActivityMs: state.clockMs,
    lastSettled: 0,
    calls: [],
    refused: {},
    historyTokens: 0,
    repeatedCalls: 0,
    lastRequestHash: '',
    backends: [],
    children: [],
  };
}
