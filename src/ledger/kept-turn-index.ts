/**
 * Index of the kept turns, each linked to the turn that it continued. Their inputs and outputs are
 * values in this member's value store.
 */
import { ExpiredValues } from './expired-values.js';
import { type KeptTurn, type KeptTurnReference, hasInlineValue } from './ledger-commands.js';
import type { TurnValueStore } from './turn-value-store.js';
import { UnreferencedValues } from './unreferenced-values.js';

interface IndexedTurn {
  previousTurn: string | undefined;
  expiresAtMs: number;
  /** Log index of the entry that added the turn; 0 if it came from a snapshot. */
  keptAtIndex: number;
}

/** One turn of a snapshot. The field order is part of the format. */
export type EncodedTurn = [id: string, previousTurn: string | null, expiresAtMs: number];

export class KeptTurnIndex {
  private turns = new Map<string, IndexedTurn>();
  /** Whether the store may hold values that no turn refers to, as after a restore. */
  private mayHoldOrphans = true;
  /** Turns kept up to this log index may be part of a snapshot. */
  private snapshotIndex = Number.NEGATIVE_INFINITY;

  /** Values that no turn of the state refers to yet. */
  readonly unreferenced = new UnreferencedValues();
  /** Turns that have expired, but that a snapshot may still refer to. */
  readonly expired = new ExpiredValues();

  constructor(private readonly values: TurnValueStore) {}

  get size(): number {
    return this.turns.size;
  }

  /**
   * Whether a turn is kept at a time of the replicated clock. Unlike the moments at which expired turns are removed, this
   * does not depend on when a member has restored a snapshot.
   */
  isKeptAt(id: string, nowMs: number): boolean {
    const turn = this.turns.get(id);
    return turn !== undefined && turn.expiresAtMs >= nowMs;
  }

  has(id: string): boolean {
    return this.turns.has(id);
  }

  /** Number of kept turns whose values are missing on this member. */
  countWithoutValue(): number {
    let count = 0;
    for (const id of this.turns.keys()) if (!this.values.has(id)) count += 1;
    return count;
  }

  /** Log index of the entry that added a turn; undefined if the turn is not kept. */
  keptAtIndex(id: string): number | undefined {
    return this.turns.get(id)?.keptAtIndex;
  }

  /**
   * Adds a turn and extends the retention of its whole chain to at least that of the turn. The turn that it continues must
   * be kept.
   * @param keptAtIndex log index of the entry that adds the turn
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

  /** Ends the wait for the entry at a log index, which refers to a turn that it does not add. */
  dropUnkept(id: string, index: number): void {
    this.unreferenced.markApplied(id, index);
    if (!this.isNeeded(id)) this.values.delete(id);
  }

  /** Ids of a turn and its predecessors, oldest first; undefined if one of them is not kept. */
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

  /**
   * Removes expired turns. The values of those in a snapshot remain until `deleteExpired`.
   * @param appliedIndex log index of the last applied entry
   */
  expire(nowMs: number, appliedIndex: number): void {
    for (const id of this.unreferenced.expire(appliedIndex)) {
      if (!this.isNeeded(id)) this.values.delete(id);
    }
    for (const [id, turn] of this.turns) {
      if (turn.expiresAtMs < nowMs) this.remove(id, turn, appliedIndex);
    }
    this.expired.forgetReportsUpTo(appliedIndex, (id) => this.turns.has(id));
    if (!this.mayHoldOrphans) return;
    this.mayHoldOrphans = false;
    this.values.retain((id) => this.isNeeded(id));
  }

  /** Deletes values of turns that expired up to a log index. */
  deleteExpired(index: number): void {
    for (const id of this.expired.takeHeldUpTo(index)) {
      if (!this.isNeeded(id)) this.values.delete(id);
    }
  }

  /** Whether the turn has ended in this state, and no entry that is not applied yet refers to it. */
  hasExpired(id: string): boolean {
    return !this.turns.has(id) && !this.unreferenced.has(id);
  }

  /**
   * Copies the index, and encodes the copy lazily in groups of `groupSize` turns.
   * @param appliedIndex log index of the state
   */
  encode(groupSize: number, appliedIndex: number): Iterable<EncodedTurn[]> {
    this.snapshotIndex = Math.max(this.snapshotIndex, appliedIndex);
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
    this.snapshotIndex = Math.max(this.snapshotIndex, 0);
    this.mayHoldOrphans = true;
  }

  private remove(id: string, { keptAtIndex }: IndexedTurn, appliedIndex: number): void {
    this.turns.delete(id);
    this.expired.forgetReport(id);
    // A restart needs the value of another turn only with its log entry, which contains the value.
    if (keptAtIndex <= this.snapshotIndex) this.expired.markHeld(id, appliedIndex);
    if (!this.isNeeded(id)) this.values.delete(id);
  }

  private isNeeded(id: string): boolean {
    return !this.hasExpired(id) || this.expired.holds(id);
  }

  /** Keeps a turn and its predecessors at least until a time. */
  extendChain(id: string | undefined, expiresAtMs: number): void {
    let next = id;
    while (next !== undefined) {
      const turn = this.turns.get(next);
      if (!turn) return;
      turn.expiresAtMs = Math.max(turn.expiresAtMs, expiresAtMs);
      next = turn.previousTurn;
    }
  }
}

/** Encodes a turn's value: its input followed by its output. */
export function encodeTurnValue({ input, output }: KeptTurn): Buffer {
  return Buffer.concat([input, output]);
}

/** Column layout, which limits the memory that a snapshot of a large index takes. */
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
