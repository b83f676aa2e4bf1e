/** The disk of one member fills up. */
import { describe, expect, it } from 'vitest';
import { GROUP, startCluster } from '../../tests/support/consensus-cluster.js';
import { waitUntil } from '../../tests/support/wait-until.js';

const CALL = { timeoutMs: 5_000 };

describe('a disk that fills up', () => {
  it('makes the leader transfer leadership and catch up once there is space', async () => {
    const cluster = await startCluster();
    const first = await cluster.waitLeader();
    const client = cluster.client();
    await client.execute(GROUP, 'one', CALL);
    first.disk.freeBytes = 0;
    await client.execute(GROUP, 'two', CALL);
    await client.execute(GROUP, 'three', CALL);
    await client.execute(GROUP, 'four', CALL);
    expect(cluster.leader?.member.id).not.toBe(first.member.id);
    expect(cluster.members.flatMap(({ fatalErrors }) => fatalErrors)).toEqual([]);
    first.disk.freeBytes = undefined;
    await waitUntil('the first leader has caught up', () => first.machine.items.length === 4);
    expect(first.machine.items).toEqual(['one', 'two', 'three', 'four']);
  });
});
