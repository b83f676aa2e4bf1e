/**
 * The index of the turns that are kept for later ones, each linked to the turn it continued. Their
 * inputs and outputs are values on this member's disk.
 */
import { type KeptTurn, type KeptTurnReference, hasInlineValue } from './ledger-commands.js';
import type { TurnValueStore } from './turn-value-store.js';
import { UnreferencedValues } from './unreferenced-values.js';

interface IndexedTurn {
  previousTurn: string | undefined;
  expiresAtMs: number;
  /** Log index of the entry that brought it; 0 when a snapshot did. */
  keptAtIndex: number;
}

/** One turn of a snapshot; the order of the fields is the format. */
export type EncodedTurn = [id: string, previousTurn: string | null, expiresAtMs: number];

export class KeptTurnIndex {
  private turns = new Map<string, IndexedTurn>();
  /** After a restore the store may hold values of turns that the state does not name. */
  private mayHoldOthers = true;

  /** Values that no turn of the state names yet. */
  readonly unreferenced = new UnreferencedValues();

  constructor(private readonly values: TurnValueStore) {}

  get size(): number {
    return this.turns.size;
  }

  has(id: string): boolean {
    return this.turns.has(id);
  }

  /** Turns that the state names and whose values are not held here. */
  countWithoutValue(): number {
    let count = 0;
    for (const id of this.turns.keys()) if (!this.values.has(id)) count += 1;
    return count;
  }

  /** Log index from which on the state names a turn; undefined when it is not kept. */
  keptAtIndex(id: string): number | undefined {
    return this.turns.get(id)?.keptAtIndex;
  }

  /**
   * Keeps a turn, and its whole chain for at least as long.
   * @param keptAtIndex log index of the entry that brings it
   */
  keep(id: string, turn: KeptTurn | KeptTurnReference, nowMs: number, keptAtIndex = 0): void {
    this.unreferenced.markApplied(id, keptAtIndex);
    if (this.turns.has(id)) return;
    const { previousTurn, retentionMs } = turn;
    const expiresAtMs = nowMs + retentionMs;
    this.turns.set(id, { previousTurn: previousTurn ?? undefined, expiresAtMs, keptAtIndex });
    if (hasInlineValue(turn)) this.values.put(id, encodeTurnValue(turn));
    this.extendChain(previousTurn, expiresAtMs);
  }

  /** A turn and all that it continues, oldest first; undefined when a link is missing. */
  chain(id: string): string[] | undefined {
    const ids: string[] = [];
    let next: string | undefined = id;
    while (next !== undefined) {
      const turn = this.turns.get(next);
      if (!turn) return undefined;
      ids.push(next);
      next = turn.previousTurn;
    }
    return ids.reverse();
  }

  /** @param appliedIndex log index up to which the state is applied */
  expire(nowMs: number, appliedIndex: number): void {
    for (const id of this.unreferenced.expire(appliedIndex)) {
      if (!this.turns.has(id)) this.values.delete(id);
    }
    for (const [id, turn] of this.turns) {
      if (turn.expiresAtMs >= nowMs) continue;
      this.turns.delete(id);
      // A turn that was settled again is named by an entry that is still to be applied.
      if (!this.unreferenced.has(id)) this.values.delete(id);
    }
    if (!this.mayHoldOthers) return;
    this.mayHoldOthers = false;
    this.values.retain((id) => this.turns.has(id) || this.unreferenced.has(id));
  }

  /** All turns as they are now, encoded in groups of `groupSize` as they are asked for. */
  encode(groupSize: number): Iterable<EncodedTurn[]> {
    const ids = [...this.turns.keys()];
    const previous = [...this.turns.values()].map(({ previousTurn }) => previousTurn);
    const expiry = Float64Array.from(this.turns.values(), ({ expiresAtMs }) => expiresAtMs);
    return encodeGroups({ ids, previous, expiry }, groupSize);
  }

  restore(encoded: readonly EncodedTurn[]): void {
    this.turns = new Map(
      encoded.map(([id, previousTurn, expiresAtMs]) => [
        id,
        { previousTurn: previousTurn ?? undefined, expiresAtMs, keptAtIndex: 0 },
      ]),
    );
    for (const id of this.turns.keys()) this.unreferenced.markApplied(id, Number.POSITIVE_INFINITY);
    this.mayHoldOthers = true;
  }

  private extendChain(id: string | undefined, expiresAtMs: number): void {
    let next = id;
    while (next !== undefined) {
      const turn = this.turns.get(next);
      if (!turn) return;
      turn.expiresAtMs = Math.max(turn.expiresAtMs, expiresAtMs);
      next = turn.previousTurn;
    }
  }
}

/** A turn's value: its input followed by its output. */
export function encodeTurnValue({ input, output }: KeptTurn): Buffer {
  return Buffer.concat([input, output]);
}

/** Columns in place of objects, so that a snapshot of a large index takes little memory. */
interface TurnColumns {
  ids: readonly string[];
  previous: readonly (string | undefined)[];
  expiry: Float64Array;
}

function* encodeGroups(
  { ids, previous, expiry }: TurnColumns,
  groupSize: number,
): Generator<EncodedTurn[]> {
  for (let start = 0; start < ids.length; start += groupSize) {
    const group = ids.slice(start, start + groupSize);
    yield group.map((id, offset) => {
      const index = start + offset;
      return [id, previous[index] ?? null, expiry[index]!];
    });
  }
}
