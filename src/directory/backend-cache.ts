/**
 * The back ends as a follower of the directory holds them: whole states of some log index, never a mix of two,
 * and never older than what was held before.
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
  /** Log index of the last change that is held; 0 for none. */
  index = 0;
  /** Of the silent back ends that are held. */
  silence: SilenceVersion = INITIAL_SILENCE_VERSION;
  private byId = new Map<string, BackendRecord>();
  /** Back ends whose heartbeats were missing when a leader last told of them. */
  private silent = new Set<string>();

  records(): BackendRecord[] {
    return [...this.byId.values()];
  }

  /** Takes what is newer than what is held. */
  apply(news: BackendUpdate): void {
    if (news.index <= this.index) return;
    for (const piece of news.pieces) this.takeChanges(unpackJson<BackendDelta>(piece));
  }

  /** Takes what the same leader, or a later one, tells of silent back ends. */
  applySilenceDelta({ afterCount, version, silent, heard }: SilenceDelta): void {
    if (version.term < this.silence.term) return;
    const isWhole = afterCount === undefined;
    const follows = version.term === this.silence.term && afterCount === this.silence.count;
    if (!isWhole && !follows) return;
    const before = isWhole ? [...this.silent] : heard;
    for (const id of before) this.silent.delete(id);
    for (const id of silent) this.silent.add(id);
    for (const id of [...before, ...silent]) this.refreshSilence(id);
    this.silence = version;
  }

  private takeChanges({ afterIndex, index, changed, gone }: BackendDelta): void {
    if (afterIndex === undefined) this.byId = new Map();
    // What follows on an earlier index holds the latest of all that changed since: another member may have told a part.
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
