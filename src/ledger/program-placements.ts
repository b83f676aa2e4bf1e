/**
 * Tracks which backend served the latest turn of each session, and thus most likely has its prompt
 * cached. Shared by all gateways, since the turns of a session can arrive at different gateways.
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

/** Encoding of a program's placements in a snapshot. */
export interface EncodedPlacements {
  program: string;
  latestBackend: string;
  bySession: [string, string][];
  notedAtMs: number;
}

/** Idle time after which a program's prompts are no longer expected in caches, in milliseconds. */
const PLACEMENT_RETENTION_MS = 2 * 60_000;

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
   * Returns the backend of the session's latest turn. A new session shares its prompt prefix with the
   * other sessions of the program, so the program's latest backend is returned for it.
   */
  find(program: string, session: string | undefined): string | undefined {
    const entry = this.programs.get(program);
    if (!entry) return undefined;
    const own = session === undefined ? undefined : entry.bySession.get(session);
    return own ?? entry.latestBackend;
  }

  expire(nowMs: number): void {
    for (const [program, { notedAtMs }] of this.programs) {
      if (notedAtMs + PLACEMENT_RETENTION_MS < nowMs) this.programs.delete(program);
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

  /** @param encoded absent in snapshots of versions without placements */
  restore(encoded: EncodedPlacements[] | undefined): void {
    this.programs = new Map(
      (encoded ?? []).map(({ program, latestBackend, bySession, notedAtMs }) => [
        program,
        { latestBackend, bySession: new Map(bySession), notedAtMs },
      ]),
    );
  }
}
