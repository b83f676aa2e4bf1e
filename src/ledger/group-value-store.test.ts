/** Values of several ledger groups in one store. */
import { describe, expect, it } from 'vitest';
import { MemoryValues } from '../../tests/support/memory-values.js';
import { GroupValueStore } from './group-value-store.js';
import { ledgerGroupName } from './ledger-groups.js';

function createStores(): { shared: MemoryValues; groups: GroupValueStore[] } {
  const shared = new MemoryValues();
  const groups = [0, 1, 2].map((index) => new GroupValueStore(shared, ledgerGroupName(index)));
  return { shared, groups };
}

describe('values of ledger groups in one store', () => {
  it('are separate, also for turns with the same id', async () => {
    const { groups } = createStores();
    for (const [index, group] of groups.entries()) group.put('turn', Buffer.from(`value ${index}`));
    groups[1]!.delete('turn');
    expect(groups.map((group) => group.has('turn'))).toEqual([true, false, true]);
    expect((await groups[2]!.get('turn'))?.toString()).toBe('value 2');
  });

  /** After a restore each group deletes the values that no turn of its own state needs. */
  it('outlive that another group deletes all of its values', () => {
    for (const deleting of [0, 1, 2]) {
      const { groups } = createStores();
      for (const group of groups) group.put('turn', Buffer.from('value'));
      groups[deleting]!.retain(() => false);
      expect(groups.map((group) => group.has('turn'))).toEqual(
        [0, 1, 2].map((index) => index !== deleting),
      );
    }
  });

  it('have the keys of earlier releases in the first group', () => {
    const { shared, groups } = createStores();
    groups[0]!.put('turn', Buffer.from('value'));
    expect([...shared.values.keys()]).toEqual(['turn']);
  });

  it('are named to the predicate as the group names them', () => {
    const { groups } = createStores();
    const named: string[] = [];
    for (const group of groups) group.put('turn', Buffer.from('value'));
    for (const group of groups) group.retain((turn) => named.push(turn) > 0);
    expect(named).toEqual(['turn', 'turn', 'turn']);
  });
});
