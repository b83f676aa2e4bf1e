/**
 * Which back end served the latest turn of each session, and so most likely still holds its prompt.
 * Turns of one session come through several gateways; this is where they learn of one another.
 */

/** Where a turn ran. */
export interface TurnPlacement {
  session: string;
  backend: string;
}

interface ProgramEntry {
  latestBackend: string;
  bySession: Map<string, string>;
  notedAtMs: number;
}

/** The entry of a program in plain lists. */
export interface EncodedPlacements {
  program: string;
  latestBackend: string;
  bySession: [string, string][];
  notedAtMs: number;
}

/** Back ends do not keep the prompt of a program that rested for so long, in milliseconds. */
const FORGET_AFTER_MS = 2 * 60_000;

export class ProgramPlacements {
  private programs = new Map<string, ProgramEntry>();

  record(program: string, { session, backend }: TurnPlacement, nowMs: number): void {
    let entry = this.programs.get(program);
    if (!entry) {
      entry = { latestBackend: backend, bySession: new Map(), notedAtMs: nowMs };
      this.programs.set(program, entry);
    }
    entry.latestBackend = backend;
    entry.notedAtMs = nowMs;
    entry.bySession.set(session, backend);
  }

  /**
   * The back end of the session's latest turn. A session that is new begins with the prompt of the
   * program's others, so it is told their latest.
   */
  find(program: string, session: string | undefined): string | undefined {
    const entry = this.programs.get(program);
    if (!entry) return undefined;
    const own = session === undefined ? undefined : entry.bySession.get(session);
    return own ?? entry.latestBackend;
  }

  expire(nowMs: number): void {
    for (const [program, { notedAtMs }] of this.programs) {
      if (notedAtMs + FORGET_AFTER_MS < nowMs) this.programs.delete(program);
    }
  }

  encode(): EncodedPlacements[] {
    return [...this.programs].map(([program, { latestBackend, bySession, notedAtMs }]) => ({
      program,
      latestBackend,
      bySession: [...bySession],
      notedAtMs,
    }));
  }

  /** @param encoded absent in snapshots that were written before placements were kept */
  restore(encoded: EncodedPlacements[] | undefined): void {
    this.programs = new Map(
      (encoded ?? []).map(({ program, latestBackend, bySession, notedAtMs }) => [
        program,
        { latestBackend, bySession: new Map(bySession), notedAtMs },
      ]),
    );
  }
}
