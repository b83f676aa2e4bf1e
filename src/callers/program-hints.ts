/** Caches facts about programs for routing and cache retention; correctness does not depend on them. */
import { LRUCache } from 'lru-cache';
import { monotonicMs } from '../common/index.js';
import type { PromptPrefix } from '../routing/index.js';
import type { JournalClient, ProgramSummary } from '../journal/index.js';

export interface ProgramHint {
  model: string;
  previousBackend: string | undefined;
  /** Tokens of the history, which the previous backend is likely to have cached. */
  historyTokens: number;
  attainedService: number;
  /** Prompt prefix shared with other programs; set by the first call. */
  prefix?: PromptPrefix;
  /** Monotonic time at which its last call ended here, in milliseconds. */
  lastCallEndedMs: number | undefined;
}

const MAX_PROGRAMS = 50_000;

export class ProgramHints {
  private readonly hints = new LRUCache<string, ProgramHint>({ max: MAX_PROGRAMS });

  constructor(private readonly journal: JournalClient) {}

  /** Returns the program's hint, read from the journal if not cached; undefined for an unknown program. */
  async get(programId: string, tenant: string): Promise<ProgramHint | undefined> {
    const known = this.hints.get(hintKey(programId, tenant));
    if (known) return known;
    const answer = await this.journal.readProgram(programId, tenant);
    if (answer.status !== 'found') return undefined;
    return this.noteOpened(answer.program);
  }

  noteOpened(program: ProgramSummary): ProgramHint {
    const hint: ProgramHint = {
      model: program.model,
      previousBackend: program.backends.at(-1),
      historyTokens: program.historyTokens,
      attainedService: program.spent,
      lastCallEndedMs: undefined,
    };
    this.hints.set(hintKey(program.id, program.tenant), hint);
    return hint;
  }

  noteCall(programId: string, tenant: string, backend: string, historyTokens: number): void {
    const hint = this.hints.get(hintKey(programId, tenant));
    if (!hint) return;
    hint.previousBackend = backend;
    hint.historyTokens = historyTokens;
    hint.lastCallEndedMs = monotonicMs();
  }

  forget(programId: string, tenant: string): void {
    this.hints.delete(hintKey(programId, tenant));
  }
}

function hintKey(programId: string, tenant: string): string {
  return `${tenant}/${programId}`;
}
