/** Back ends whose heartbeats are missing, as one leader knows it, with a count of the changes. */
import { ChangeHistory } from './change-history.js';
import { packJson } from './packed-json.js';

/** Counts of different leaders say nothing of each other: their terms tell them apart. */
export interface SilenceVersion {
  /** Of the leader; 0 for none. */
  term: number;
  count: number;
}

/** How the silent back ends of a later version differ from those of an earlier one. */
export interface SilenceDelta {
  /** Count of the same leader that they follow on; absent where `silent` names all. */
  afterCount?: number;
  version: SilenceVersion;
  /** Ids of those that have fallen silent. */
  silent: string[];
  /** Ids of those that are silent no more. */
  heard: string[];
}

export const INITIAL_SILENCE_VERSION: SilenceVersion = { term: 0, count: 0 };

export class SilentBackendTracker {
  private silent: ReadonlySet<string> = new Set();
  private count = 1;
  private readonly history = new ChangeHistory();
  /** Packed `SilenceChanges` up to now, by the version that they follow on. */
  private readonly packed = new Map<string, Uint8Array>();

  get ids(): ReadonlySet<string> {
    return this.silent;
  }

  /** @returns whether others are silent than before */
  update(silent: ReadonlySet<string>): boolean {
    const changed = [
      ...[...silent].filter((id) => !this.silent.has(id)),
      ...[...this.silent].filter((id) => !silent.has(id)),
    ];
    if (changed.length === 0) return false;
    this.count += 1;
    for (const id of changed) this.history.record(this.count, id);
    this.silent = silent;
    this.packed.clear();
    return true;
  }

  /** Another term begins. */
  clear(): void {
    this.silent = new Set();
    this.count += 1;
    this.history.reset(this.count);
    this.packed.clear();
  }

  /** Whether one who holds a version lacks something; a deposed leader has nothing for those who heard a later one. */
  hasUpdateFor(held: SilenceVersion, term: number): boolean {
    return held.term < term || (held.term === term && held.count < this.count);
  }

  /** Packed `SilenceChanges`. */
  updateSince(held: SilenceVersion, term: number): Uint8Array {
    const key = held.term === term ? `${term}.${held.count}` : `${term}`;
    const packed = this.packed.get(key) ?? packJson(this.changesAfter(held, term));
    this.packed.set(key, packed);
    return packed;
  }

  private changesAfter(held: SilenceVersion, term: number): SilenceDelta {
    const version = { term, count: this.count };
    const changed = held.term === term ? this.history.changedAfter(held.count) : undefined;
    if (!changed) return { version, silent: [...this.silent], heard: [] };
    const silent = [...changed].filter((id) => this.silent.has(id));
    const heard = [...changed].filter((id) => !this.silent.has(id));
    return { afterCount: held.count, version, silent, heard };
  }
}
