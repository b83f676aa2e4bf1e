/** Builds the updates that bring a watcher's copy of the registered backends up to date. */
import type { BackendRegistration } from './backend-registration.js';
import { packJson } from './packed-json.js';

/** Difference between the registered backends at two log indexes. */
export interface BackendDelta {
  /** Log index that the delta applies to; absent if `changed` is the whole list. */
  afterIndex?: number;
  /** Log index after the delta is applied. */
  index: number;
  changed: BackendRegistration[];
  /** Ids of backends that are no longer registered. */
  gone: string[];
}

/** Packed `BackendDelta`s, to be applied in order. */
export interface BackendUpdate {
  /** Log index after all pieces are applied. */
  index: number;
  pieces: Uint8Array[];
}

/** Source of the registered backends and of their change history. */
export interface BackendHistory {
  /** Log index of the last change. */
  readonly backendsIndex: number;
  readonly backends: ReadonlyMap<string, BackendRegistration>;
  /** Changes after an index; undefined if the history does not reach back that far. */
  backendChangesAfter(index: number): BackendDelta | undefined;
}

/** Above this number of changes, packing a new list is cheaper than sending the cached list and a delta. */
const MAX_CHANGES_AFTER_CACHED_LIST = 500;

interface CachedList {
  index: number;
  packed: Uint8Array;
}

export class BackendUpdateSource {
  private list: CachedList | undefined;
  /** Packed deltas to the latest index, by the index that they apply to. */
  private readonly deltas = new Map<number, Uint8Array>();
  private deltasIndex = 0;

  constructor(private readonly history: BackendHistory) {}

  /** @param heldIndex log index of the copy that the watcher holds; 0 for none */
  updateSince(heldIndex: number): BackendUpdate {
    const { backendsIndex: index } = this.history;
    const changes = heldIndex > 0 ? this.deltaAfter(heldIndex) : undefined;
    return { index, pieces: changes ? [changes] : this.wholeList() };
  }

  /** The cached list plus a delta, so that watchers that start at the same time share one packed list. */
  private wholeList(): Uint8Array[] {
    const { list, history } = this;
    if (list?.index === history.backendsIndex) return [list.packed];
    const changes = list && history.backendChangesAfter(list.index);
    const count = changes ? changes.changed.length + changes.gone.length : Infinity;
    if (list && count <= MAX_CHANGES_AFTER_CACHED_LIST) {
      return [list.packed, this.deltaAfter(list.index)!];
    }
    this.list = { index: history.backendsIndex, packed: this.packList() };
    return [this.list.packed];
  }

  private packList(): Uint8Array {
    const { backends, backendsIndex: index } = this.history;
    const list: BackendDelta = { index, changed: [...backends.values()], gone: [] };
    return packJson(list);
  }

  private deltaAfter(index: number): Uint8Array | undefined {
    if (this.deltasIndex !== this.history.backendsIndex) this.deltas.clear();
    this.deltasIndex = this.history.backendsIndex;
    const packed = this.deltas.get(index);
    if (packed) return packed;
    const changes = this.history.backendChangesAfter(index);
    if (!changes) return undefined;
    const newlyPacked = packJson(changes);
    this.deltas.set(index, newlyPacked);
    return newlyPacked;
  }
}
