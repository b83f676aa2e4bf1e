/**
 * A watcher's copy of the registered backends. It always matches the state at a single log index and never goes
 * back to an earlier one.
 */
import type { BackendRecord, BackendRegistration } from './backend-registration.js';
import type { BackendDelta, BackendUpdate } from './backend-updates.js';
import { unpackJson } from './packed-json.js';
import {
  INITIAL_SILENCE_VERSION,
  type SilenceDelta,
  type SilenceVersion,
} from './silent-backend-tracker.js';

export class BackendCache {
  /** Log index of the last applied change; 0 for none. */
  index = 0;
  /** Version of the set of silent backends. */
  silence: SilenceVersion = INITIAL_SILENCE_VERSION;
  private byId = new Map<string, BackendRecord>();
  /** Ids of backends that missed heartbeats according to the last update of a leader. */
  private silent = new Set<string>();

  records(): BackendRecord[] {
    return [...this.byId.values()];
  }

  /** Applies an update unless its index is not newer than the copy's. */
  apply(update: BackendUpdate): void {
    if (update.index <= this.index) return;
    for (const piece of update.pieces) this.applyDelta(unpackJson<BackendDelta>(piece));
  }

  /** Applies a delta to the held version, or a whole set, of the same or a later leader. */
  applySilenceDelta({ afterCount, version, silent, heard }: SilenceDelta): void {
    if (version.term < this.silence.term) return;
    const isWhole = afterCount === undefined;
    const isNext = version.term === this.silence.term && afterCount === this.silence.count;
    if (!isWhole && !isNext) return;
    const before = isWhole ? [...this.silent] : heard;
    for (const id of before) this.silent.delete(id);
    for (const id of silent) this.silent.add(id);
    for (const id of [...before, ...silent]) this.refreshSilence(id);
    this.silence = version;
  }

  private applyDelta({ afterIndex, index, changed, gone }: BackendDelta): void {
    if (afterIndex === undefined) this.byId = new Map();
    // A delta from an earlier index is complete: it holds the latest state of all that changed since that index.
    else if (afterIndex > this.index) return;
    for (const id of gone) this.byId.delete(id);
    for (const backend of changed) this.byId.set(backend.id, this.recordOf(backend));
    this.index = index;
  }

  private recordOf(backend: BackendRegistration): BackendRecord {
    return { ...backend, isSilent: this.silent.has(backend.id) };
  }

  private refreshSilence(id: string): void {
    const record = this.byId.get(id);
    if (record) this.byId.set(id, { ...record, isSilent: this.silent.has(id) });
  }
}
