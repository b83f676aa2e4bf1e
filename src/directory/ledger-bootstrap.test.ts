/** Foundation of the ledger's groups. */
import { describe, expect, it } from 'vitest';
import { simulateTime } from '../../tests/support/simulated-time.js';
import { sleep } from '../common/index.js';
import type { LedgerGroupFounders } from '../ledger/ledger-groups.js';
import { LedgerBootstrap } from './ledger-bootstrap.js';
import type { NodeAnnouncement } from './messages.js';

const ZONES = 5;
/** Longer than the time to wait for further journal processes, in milliseconds. */
const SETTLED_MS = 1_100;

function journals(count: number): NodeAnnouncement[] {
  return Array.from({ length: count }, (_, index) => ({
    name: `store-${index}`,
    role: 'journal',
    address: `store-${index}:1`,
    zone: `zone-${index % ZONES}`,
    memberId: `store-${index}-id`,
  }));
}

async function found(
  count: number,
  voters: number,
  groupCount?: number,
): Promise<LedgerGroupFounders[]> {
  simulateTime(1);
  const bootstrap = new LedgerBootstrap(voters, groupCount);
  bootstrap.recordJournal();
  expect(bootstrap.dueGroups(journals(count))).toBeUndefined();
  await sleep(SETTLED_MS);
  return bootstrap.dueGroups(journals(count))!;
}

describe('the foundation of the ledger', () => {
  it('has one group for every two journal processes, four at most', async () => {
    const counts: number[] = [];
    for (const processes of [3, 4, 8, 24]) counts.push((await found(processes, 3)).length);
    expect(counts).toEqual([1, 2, 4, 4]);
  });

  it('has as many groups as are set', async () => {
    const groups = await found(8, 3, 6);
    expect(groups.map(({ name }) => name)).toEqual([
      'ledger',
      'ledger-2',
      'ledger-3',
      'ledger-4',
      'ledger-5',
      'ledger-6',
    ]);
  });

  it('has the target number of voters in each group, in different zones, and different ones', async () => {
    const groups = await found(8, 5);
    for (const { founders } of groups) {
      const zones = founders.map(({ name }) => Number(name.slice('store-'.length)) % ZONES);
      expect(new Set(zones).size).toBe(ZONES);
    }
    const members = groups.map(({ founders }) =>
      founders
        .map(({ name }) => name)
        .sort()
        .join(' '),
    );
    expect(new Set(members).size).toBeGreaterThan(1);
  });
});
