/** The disks of a majority stall: entries must not be acknowledged before they are synced. */
import { describe, expect, it } from 'vitest';
import { GROUP, startCluster } from '../../tests/support/consensus-cluster.js';
import { sleep } from '../common/index.js';
import { encodeValue } from '../wire/index.js';

/** Longer than the timeout after which a leader resends entries, in milliseconds. */
const STALL_MS = 2_500;
const CALL = { timeoutMs: 5_000 };

describe('stalled disks', () => {
  it('prevent acknowledgement of entries, including those that the leader resends', async () => {
    const cluster = await startCluster();
    const leader = await cluster.waitLeader();
    await cluster.client().execute(GROUP, 'before', CALL);
    const followers = cluster.members.filter((running) => running !== leader);
    for (const { disk } of followers) disk.stall();
    let isAcknowledged = false;
    const acknowledged = leader.group.propose(encodeValue('during')).then(
      () => (isAcknowledged = true),
      () => undefined,
    );
    await sleep(STALL_MS);
    expect(isAcknowledged).toBe(false);
    expect(leader.machine.items).toEqual(['before']);
    for (const { disk } of followers) disk.resume();
    await acknowledged;
  });
});
