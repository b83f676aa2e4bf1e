/** Tells those who follow the directory what has changed among the back ends since what they hold. */
import type { BackendRegistration } from './backend-registration.js';
import { packJson } from './packed-json.js';

/** How the back ends of a later log index differ from those of an earlier one. */
export interface BackendDelta {
  /** Log index that they follow on; absent where `changed` is the whole list. */
  afterIndex?: number;
  /** Log index that they lead to. */
  index: number;
  changed: BackendRegistration[];
  /** Ids of those that aren't registered any more. */
  gone: string[];
}

/** Packed `BackendChanges`, to be taken in their order. */
export interface BackendUpdate {
  /** Log index that they lead to. */
  index: number;
  pieces: Uint8Array[];
}

/** Where the back ends and their changes are kept. */
export interface BackendHistory {
  /** Log index of the last change. */
  readonly backendsIndex: number;
  readonly backends: ReadonlyMap<string, BackendRegistration>;
  /** Changes behind an index; nothing when they aren't known any more. */
  backendChangesAfter(index: number): BackendDelta | undefined;
}

/** With more changes behind it, a packed list costs those who need one more than a new one costs the sender. */
const MOST_CHANGES_BEHIND_LIST = 500;

interface PackedList {
  index: number;
  packed: Uint8Array;
}

export class BackendUpdateSource {
  private list: PackedList | undefined;
  /** Packed changes up to the latest, by the index that they follow on. */
  private readonly changes = new Map<number, Uint8Array>();
  private changesIndex = 0;

  constructor(private readonly history: BackendHistory) {}

  /** @param heldIndex log index of what the asker holds; 0 for nothing */
  updateSince(heldIndex: number): BackendUpdate {
    const { backendsIndex: index } = this.history;
    const changes = heldIndex > 0 ? this.changesAfter(heldIndex) : undefined;
    return { index, pieces: changes ? [changes] : this.wholeList() };
  }

  /** A list that was packed before, and what has changed since: many that start at once cost one list. */
  private wholeList(): Uint8Array[] {
    const { list, history } = this;
    if (list?.index === history.backendsIndex) return [list.packed];
    const changes = list && history.backendChangesAfter(list.index);
    const count = changes ? changes.changed.length + changes.gone.length : Infinity;
    if (list && count <= MOST_CHANGES_BEHIND_LIST) {
      return [list.packed, this.changesAfter(list.index)!];
    }
    this.list = { index: history.backendsIndex, packed: this.packList() };
    return [this.list.packed];
  }

  private packList(): Uint8Array {
    const { backends, backendsIndex: index } = this.history;
    const list: BackendDelta = { index, changed: [...backends.values()], gone: [] };
    return packJson(list);
  }

  private changesAfter(index: number): Uint8Array | undefined {
    if (this.changesIndex !== this.history.backendsIndex) this.changes.clear();
    this.changesIndex = this.history.backendsIndex;
    const packed = this.changes.get(index);
    if (packed) return packed;
    const changes = this.history.backendChangesAfter(index);
    if (!changes) return undefined;
    const fresh = packJson(changes);
    this.changes.set(index, fresh);
    return fresh;
  }
}
