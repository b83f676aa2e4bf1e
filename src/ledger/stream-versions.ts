/**
 * Which software version began each stream that its caller may resume, by the id of the caller's attempt. All gateways read it
 * here, since the gateway that began a stream may be gone when the caller comes to another one.
 */

/** Opaque key of a software version; see `versionKeyOf` in the gateway. */
export type VersionKey = string;

/** What a reservation does about the stream of its call. */
export type ReservedStream =
  /** Records the version that may begin the stream, the first of the list unless the program last ran at another one. */
  | { kind: 'begin'; versions: VersionKey[]; keepMs: number }
  /** Looks up the version that began the stream. */
  | { kind: 'resume'; attempt: string };

/** The version that begins a stream; replaces the version recorded by the attempt's reservation, if any. */
export interface StreamRecord {
  /** Id of the caller's attempt. */
  attempt: string;
  version: VersionKey;
  /** How long the caller may resume the stream, in milliseconds. */
  keepMs: number;
}

interface StreamEntry {
  version: VersionKey;
  expiresAtMs: number;
}

/** Encoding of an entry in a snapshot. */
export type EncodedStream = [attempt: string, version: VersionKey, expiresAtMs: number];

/** Maximum number of entries, about 200 bytes of heap each; the oldest give way, and their streams cannot be resumed. */
const MAX_ENTRIES = 50_000;
/** Maximum time that an entry is kept, whatever a caller's deadline is, in milliseconds. */
const MAX_KEEP_MS = 10 * 60_000;
/** Added to the time that a caller has, for clock differences between leaders, in milliseconds. */
const KEEP_GRACE_MS = 10_000;

export class StreamVersions {
  private entries = new Map<string, StreamEntry>();

  get size(): number {
    return this.entries.size;
  }

  find(attempt: string): VersionKey | undefined {
    return this.entries.get(attempt)?.version;
  }

  /**
   * Records the version unless the attempt has one, so that a delayed duplicate of a reservation has no effect.
   * @returns the recorded version
   */
  begin(record: StreamRecord, nowMs: number): VersionKey {
    const known = this.find(record.attempt);
    if (known === undefined) this.replace(record, nowMs);
    return known ?? record.version;
  }

  replace({ attempt, version, keepMs }: StreamRecord, nowMs: number): void {
    const expiresAtMs = nowMs + Math.min(keepMs, MAX_KEEP_MS) + KEEP_GRACE_MS;
    this.entries.set(attempt, { version, expiresAtMs });
    const oldest = this.entries.keys().next().value;
    if (this.entries.size > MAX_ENTRIES && oldest !== undefined) this.entries.delete(oldest);
  }

  expire(nowMs: number): void {
    for (const [attempt, { expiresAtMs }] of this.entries) {
      if (expiresAtMs < nowMs) this.entries.delete(attempt);
    }
  }

  encode(): EncodedStream[] {
    return [...this.entries].map(([attempt, { version, expiresAtMs }]) => [
      attempt,
      version,
      expiresAtMs,
    ]);
  }

  /** @param encoded absent in snapshots of releases that record no streams */
  restore(encoded: EncodedStream[] | undefined): void {
    this.entries = new Map(
      (encoded ?? []).map(([attempt, version, expiresAtMs]) => [attempt, { version, expiresAtMs }]),
    );
  }
}
