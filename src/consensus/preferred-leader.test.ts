/** Handing a group over to a certain voter. */
import { expect, it } from 'vitest';
import { startCluster } from '../../tests/support/consensus-cluster.js';
import { waitUntil } from '../../tests/support/wait-until.js';

it('leadership goes to the voter that is preferred', async () => {
  const cluster = await startCluster({ size: 5 });
  for (let transfers = 0; transfers < 3; transfers += 1) {
    const { group } = await cluster.waitLeader();
    await waitUntil('current', () => group.isCurrentLeader);
    const preferred = cluster.members.findLast(({ member }) => member.id !== group.ownId)!;
    expect(await group.transferLeadership(preferred.member.id)).toBe(true);
    await waitUntil('handed over', () => preferred.group.isCurrentLeader);
  }
});
