/** Turns that are kept for later ones, each linked to the turn it continued. */
import type { KeptTurn } from './ledger-commands.js';

interface StoredTurn {
  previousTurn?: string;
  input: Uint8Array;
  output: Uint8Array;
  expiresAtMs: number;
}

export interface EncodedTurn extends StoredTurn {
  id: string;
}

export class KeptTurns {
  private turns = new Map<string, StoredTurn>();

  has(id: string): boolean {
    return this.turns.has(id);
  }

  /** Keeps a turn, and its whole chain for at least as long. */
  keep(id: string, turn: KeptTurn, nowMs: number): void {
    if (this.turns.has(id)) return;
    const { previousTurn, input, output, retentionMs } = turn;
    const expiresAtMs = nowMs + retentionMs;
    this.turns.set(id, { previousTurn, input, output, expiresAtMs });
    this.extendChain(previousTurn, expiresAtMs);
  }

  /** Everything a turn continues from, oldest first; undefined when a link is missing. */
  history(id: string): Uint8Array | undefined {
    const parts: Uint8Array[] = [];
    let next: string | undefined = id;
    while (next !== undefined) {
      const turn = this.turns.get(next);
      if (!turn) return undefined;
      parts.push(turn.output, turn.input);
      next = turn.previousTurn;
    }
    return Buffer.concat(parts.reverse());
  }

  expire(nowMs: number): void {
    for (const [id, turn] of this.turns) if (turn.expiresAtMs < nowMs) this.turns.delete(id);
  }

  encode(): EncodedTurn[] {
    return [...this.turns].map(([id, turn]) => ({ id, ...turn }));
  }

  restore(encoded: EncodedTurn[]): void {
    this.turns = new Map(
      encoded.map(({ id, previousTurn, input, output, expiresAtMs }) => [
        id,
        { previousTurn: previousTurn ?? undefined, input, output, expiresAtMs },
      ]),
    );
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
