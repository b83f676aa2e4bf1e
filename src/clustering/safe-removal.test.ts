/** When a machine that is to be emptied counts as free. */
import { expect, it, onTestFinished } from 'vitest';
import { startCluster } from '../../tests/support/consensus-cluster.js';
import { waitUntil } from '../../tests/support/wait-until.js';
import { sleep } from '../common/index.js';
import { createLogger } from '../observability/index.js';
import { VoterSetManager } from './voter-set-manager.js';

/** Longer than a voter may be silent before it counts as unreachable, in milliseconds. */
const SILENCE_MS = 1_500;

/**
 * A machine is free once all voters hold the log, so that it may be switched off. What a voter has acknowledged counts
 * until the group commits more, also after it has lost its disk: while nothing is committed a group of three, of which one
 * holds nothing any more, lets another copy go.
 */
it('is not free while a voter that has lost its disk is counted on', async () => {
  const cluster = await startCluster();
  const leader = await cluster.waitLeader();
  const keeper = new VoterSetManager(leader.group, {
    targetVoters: 3,
    isRetiring: (name) => name === 'emptied',
    logger: createLogger({ test: 'free-machine' }),
  });
  onTestFinished(() => keeper.stop());
  const victim = cluster.members.find(({ group }) => !group.isLeader)!;
  const { group } = leader;
  await waitUntil('all hold the log', () =>
    cluster.members.every(
      ({ member: { id } }) => id === group.ownId || group.matchIndexOf(id) === group.log.lastIndex,
    ),
  );
  await cluster.loseDisk(await cluster.crash(victim.member.id));
  await sleep(SILENCE_MS);
  expect(leader.group.isCurrentLeader).toBe(true);
  expect(keeper.isSafeToRemove('emptied')).toBe(false);
});
