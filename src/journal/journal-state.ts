/** State of the journal: programs, and unconfirmed releases of backend memory. */
import { decodeValue, encodeValue } from '../wire/index.js';
import type { ProgramChain } from './budget.js';
import type { CallRecord, ProgramRecord } from './program-state.js';

interface EncodedState {
  clockMs: number;
  programs: ProgramRecord[];
  releases: [string, string[]][];
}

export class JournalState {
  /** Journal time of the latest command, in milliseconds. */
  clockMs = 0;
  readonly programs = new Map<string, ProgramRecord>();
  /** Ended programs with the backends that have not confirmed the release of their memory. */
  readonly releases = new Map<string, Set<string>>();

  /** Returns the program if it belongs to the tenant. */
  find(programId: string, tenant: string): ProgramRecord | undefined {
    const program = this.programs.get(programId);
    return program?.tenant === tenant ? program : undefined;
  }

  chainOf(program: ProgramRecord): ProgramChain {
    const chain = [program];
    let parent = program.parent;
    while (parent !== undefined) {
      const record = this.programs.get(parent);
      if (!record) break;
      chain.push(record);
      parent = record.parent;
    }
    return chain;
  }

  requestRelease(programId: string, backends: Iterable<string>): void {
    const pending = this.releases.get(programId) ?? new Set<string>();
    for (const backend of backends) pending.add(backend);
    if (pending.size > 0) this.releases.set(programId, pending);
  }

  confirmRelease(programId: string, backend: string): void {
    const pending = this.releases.get(programId);
    pending?.delete(backend);
    if (pending?.size === 0) this.releases.delete(programId);
  }

  encode(): Uint8Array {
    const state: EncodedState = {
      clockMs: this.clockMs,
      programs: [...this.programs.values()],
      releases: [...this.releases].map(([program, backends]) => [program, [...backends]]),
    };
    return encodeValue(state);
  }

  decode(bytes: Uint8Array): void {
    const state = decodeValue<EncodedState>(bytes);
    this.clockMs = state.clockMs;
    this.programs.clear();
    for (const program of state.programs) this.programs.set(program.id, program);
    this.releases.clear();
    for (const [program, backends] of state.releases) this.releases.set(program, new Set(backends));
  }
}

/** Copies a call for a result, so that later commands do not change it. */
export function copyCall(call: CallRecord): CallRecord {
  return { ...call, current: { ...call.current } };
}
