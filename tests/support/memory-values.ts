/** An in-memory store for values of kept turns. */
import type { TurnValueStore } from '../../src/ledger/index.js';

export class MemoryValues implements TurnValueStore {
  readonly values = new Map<string, Buffer>();
  /** Share of the quota that is used up. */
  usedShare = 0;

  has(key: string): boolean {
    return this.values.has(key);
  }

  put(key: string, value: Buffer): void {
    if (!this.values.has(key)) this.values.set(key, value);
  }

  async get(key: string): Promise<Buffer | undefined> {
    return this.values.get(key);
  }

  delete(key: string): void {
    this.values.delete(key);
  }

  retain(isWanted: (key: string) => boolean): void {
    for (const key of this.values.keys()) if (!isWanted(key)) this.delete(key);
  }

  async sync(): Promise<void> {}

  async waitForRoom(): Promise<void> {}

  hasRoomFor(_bytes: number, share: number): boolean {
    return this.usedShare < share;
  }
}
