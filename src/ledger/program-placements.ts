/**
 * Tracks which backend served the latest turn of each session, and thus most likely has its prompt
 * cached. Shared by all gateways, since the turns of a session can arrive at different gateways.
 */

import type { VersionKey } from './stream-versions.js';

/** A backend at which a turn ran. */
export interface TurnBackend {
  backend: string;
  /** Version of its software; absent if the turn was recorded by an earlier release. */
  version?: VersionKey;
}

/** Where a turn ran. */
export interface TurnPlacement extends TurnBackend {
  session: string;
}

interface ProgramEntry {
  latest: TurnBackend;
  bySession: Map<string, TurnBackend>;
  notedAtMs: number;
}

/** Encoding of a program's placements in a snapshot. */
export interface EncodedPlacements {
  program: string;
  latestBackend: string;
  bySession: [string, string][];
  /** Versions of these backends; absent in snapshots of releases that record none. */
  versions?: [backend: string, version: VersionKey][];
  notedAtMs: number;
}

/** Idle time after which a program's prompts are no longer expected in caches, in milliseconds. */
const PLACEMENT_RETENTION_MS = 2 * 60_000;

export class ProgramPlacements {
  private programs = new Map<string, ProgramEntry>();

  record(program: string, { session, backend, version }: TurnPlacement, nowMs: number): void {
    const latest = { backend, version };
    let entry = this.programs.get(program);
    if (!entry) {
      entry = { latest, bySession: new Map(), notedAtMs: nowMs };
      this.programs.set(program, entry);
    }
    entry.latest = latest;
    entry.notedAtMs = nowMs;
    entry.bySession.set(session, latest);
  }

  /**
   * Returns the backend of the session's latest turn. A new session shares its prompt prefix with the
   * other sessions of the program, so the program's latest backend is returned for it.
   */
  find(program: string, session: string | undefined): TurnBackend | undefined {
    const entry = this.programs.get(program);
    if (!entry) return undefined;
    const own = session === undefined ? undefined : entry.bySession.get(session);
    return own ?? entry.latest;
  }

  expire(nowMs: number): void {
    for (const [program, { notedAtMs }] of this.programs) {
      if (notedAtMs + PLACEMENT_RETENTION_MS < nowMs) this.programs.delete(program);
    }
  }

  encode(): EncodedPlacements[] {
    return [...this.programs].map(([program, { latest, bySession, notedAtMs }]) => ({
      program,
      latestBackend: latest.backend,
      bySession: [...bySession].map(([session, { backend }]) => [session, backend]),
      versions: versionsOf([latest, ...bySession.values()]),
      notedAtMs,
    }));
  }

  /** @param encoded absent in snapshots of versions without placements */
  restore(encoded: EncodedPlacements[] | undefined): void {
    this.programs = new Map(
      (encoded ?? []).map((placements) => [placements.program, entryOf(placements)]),
    );
  }
}

function versionsOf(backends: TurnBackend[]): [string, VersionKey][] {
  const versions = new Map<string, VersionKey>();
  for (const { backend, version } of backends) {
    if (version !== undefined) versions.set(backend, version);
  }
  return [...versions];
}

function entryOf({
  latestBackend,
  bySession,
  versions: encodedVersions,
  notedAtMs,
}: EncodedPlacements): ProgramEntry {
  const versions = new Map(encodedVersions);
  const withVersion = (backend: string): TurnBackend => {
    return { backend, version: versions.get(backend) };
  };
  return {
    latest: withVersion(latestBackend),
    bySession: new Map(bySession.map(([session, backend]) => [session, withVersion(backend)])),
    notedAtMs,
  };
}
