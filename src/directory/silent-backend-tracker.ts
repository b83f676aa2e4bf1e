/** Versioned set of the backends that miss heartbeats, as seen by one leader. */
import { ChangeHistory } from '../common/index.js';
import { packJson } from './packed-json.js';

/** Version of the set; counts of different leaders are not comparable, so it includes the leader's term. */
export interface SilenceVersion {
  /** Term of the leader; 0 for none. */
  term: number;
  count: number;
}

/** Difference between the silent backends of two versions. */
export interface SilenceDelta {
  /** Count of the same leader that the delta applies to; absent if `silent` is the whole set. */
  afterCount?: number;
  version: SilenceVersion;
  /** Ids of backends that became silent. */
  silent: string[];
  /** Ids of backends that are no longer silent. */
  heard: string[];
}

export const INITIAL_SILENCE_VERSION: SilenceVersion = { term: 0, count: 0 };

export class SilentBackendTracker {
  private silent: ReadonlySet<string> = new Set();
  private count = 1;
  private readonly history = new ChangeHistory();
  /** Packed deltas to the current version, by the version that they apply to. */
  private readonly packed = new Map<string, Uint8Array>();

  get ids(): ReadonlySet<string> {
    return this.silent;
  }

  /** @returns whether the set has changed */
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

  /** Resets the set at the start of a term. */
  clear(): void {
    this.silent = new Set();
    this.count += 1;
    this.history.reset(this.count);
    this.packed.clear();
  }

  /** Whether a watcher's version is outdated; false for versions of a later leader. */
  hasUpdateFor(held: SilenceVersion, term: number): boolean {
    return held.term < term || (held.term === term && held.count < this.count);
  }

  /** Packed `SilenceDelta`. */
  updateSince(held: SilenceVersion, term: number): Uint8Array {
    const key = held.term === term ? `${term}.${held.count}` : `${term}`;
    const packed = this.packed.get(key) ?? packJson(this.deltaAfter(held, term));
    this.packed.set(key, packed);
    return packed;
  }

  private deltaAfter(held: SilenceVersion, term: number): SilenceDelta {
    const version = { term, count: this.count };
    const changed = held.term === term ? this.history.changedAfter(held.count) : undefined;
    if (!changed) return { version, silent: [...this.silent], heard: [] };
    const silent = [...changed].filter((id) => this.silent.has(id));
    const heard = [...changed].filter((id) => !this.silent.has(id));
    return { afterCount: held.count, version, silent, heard };
  }
}
