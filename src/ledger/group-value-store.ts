/**
 * The values of one ledger group in the value store that all groups of a process share. Turns of different groups may have
 * the same id: a caller that repeats an attempt in another program names it again.
 */
import type { TurnValueStore } from './turn-value-store.js';
import { LEDGER_GROUP } from './ledger-groups.js';

/** Begins the keys of all groups but the first, whose keys are as those of earlier releases. No turn id contains it. */
const GROUP_MARK = '\u0001';

export class GroupValueStore implements TurnValueStore {
  private readonly prefix: string;

  constructor(
    private readonly store: TurnValueStore,
    group: string,
  ) {
    this.prefix = group === LEDGER_GROUP ? '' : `${GROUP_MARK}${group}${GROUP_MARK}`;
  }

  has(turn: string): boolean {
    return this.store.has(this.keyOf(turn));
  }

  put(turn: string, value: Buffer): void {
    this.store.put(this.keyOf(turn), value);
  }

  get(turn: string): Promise<Buffer | undefined> {
    return this.store.get(this.keyOf(turn));
  }

  delete(turn: string): void {
    this.store.delete(this.keyOf(turn));
  }

  /** Deletes all written values of this group whose turns do not match the predicate. */
  retain(isLive: (turn: string) => boolean): void {
    this.store.retain((key) => !this.owns(key) || isLive(key.slice(this.prefix.length)));
  }

  sync(): Promise<void> {
    return this.store.sync();
  }

  waitForRoom(): Promise<void> {
    return this.store.waitForRoom();
  }

  hasRoomFor(bytes: number, share: number): boolean {
    return this.store.hasRoomFor(bytes, share);
  }

  private keyOf(turn: string): string {
    return this.prefix + turn;
  }

  private owns(key: string): boolean {
    return this.prefix === '' ? !key.startsWith(GROUP_MARK) : key.startsWith(this.prefix);
  }
}
