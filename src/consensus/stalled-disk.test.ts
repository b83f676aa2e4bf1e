/** A group of which a majority's disks stall: nothing is acknowledged that is not synced. */
import { describe, expect, it } from 'vitest';
import { GROUP, startCluster } from '../../tests/support/consensus-cluster.js';
import { sleep } from '../common/index.js';
import { encodeValue } from '../wire/index.js';

/** Longer than a leader waits for an answer before it repeats entries, in milliseconds. */
const STALL_MS = 2_500;
const CALL = { timeoutMs: 5_000 };

describe('a disk that stalls', () => {
  it('keeps its member from acknowledging entries, also those that the leader repeats', async () => {
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
