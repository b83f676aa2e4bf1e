/** Programs that a gateway has seen recently, so that it counts each once and refuses none that has begun. */

import { detachedKey, heldKeyOf } from '../common/index.js';

/** Time without a turn after which a program is forgotten; a pause between two turns is far shorter. */
const REMEMBERED_MS = 10_000;
/** Bounds the memory; far more than a gateway sees in that time. */
const MAX_PROGRAMS = 4_096;

interface KnownProgram {
  hasBegun: boolean;
  seenAt: number;
}

export class ProgramMemory {
  /** In the order of last use. */
  private readonly programs = new Map<string, KnownProgram>();

  hasBegun(id: string): boolean {
    return this.programs.get(heldKeyOf(id))?.hasBegun ?? false;
  }

  /** @returns whether the program was unknown */
  noteOffered(id: string, now: number): boolean {
    const known = this.programs.get(heldKeyOf(id));
    this.remember(id, known?.hasBegun ?? false, now);
    return known === undefined;
  }

  noteBegun(id: string, now: number): void {
    this.remember(id, true, now);
  }

  private remember(id: string, hasBegun: boolean, now: number): void {
    const key = heldKeyOf(id);
    this.programs.delete(key);
    this.programs.set(detachedKey(key), { hasBegun, seenAt: now });
    for (const [oldest, { seenAt }] of this.programs) {
      if (this.programs.size <= MAX_PROGRAMS && now - seenAt < REMEMBERED_MS) break;
      this.programs.delete(oldest);
    }
  }
}
