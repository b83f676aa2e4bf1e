/** When a retiring machine can be switched off. */
import { expect, it, onTestFinished } from 'vitest';
import { startCluster } from '../../tests/support/consensus-cluster.js';
import { waitUntil } from '../../tests/support/wait-until.js';
import { sleep } from '../common/index.js';
import { createLogger } from '../observability/index.js';
import { VoterSetManager } from './voter-set-manager.js';

/** Longer than the time without a response after which a voter is unreachable, in milliseconds. */
const UNREACHABLE_MS = 1_500;

/**
 * Guards against counting the log entries that a voter acknowledged before it lost its disk: switching off another
 * machine could then leave too few copies.
 */
it('a machine is not safe to remove while a voter has lost its disk', async () => {
  const cluster = await startCluster();
  const leader = await cluster.waitLeader();
  const manager = new VoterSetManager(leader.group, {
    targetVoters: 3,
    isRetiring: (name) => name === 'emptied',
    logger: createLogger({ test: 'free-machine' }),
  });
  onTestFinished(() => manager.stop());
  const victim = cluster.members.find(({ group }) => !group.isLeader)!;
  const { group } = leader;
  await waitUntil('all hold the log', () =>
    cluster.members.every(
      ({ member: { id } }) => id === group.ownId || group.matchIndexOf(id) === group.log.lastIndex,
    ),
  );
  await cluster.deleteDisk(await cluster.crash(victim.member.id));
  await sleep(UNREACHABLE_MS);
  expect(leader.group.isCurrentLeader).toBe(true);
  expect(manager.isSafeToRemove('emptied')).toBe(false);
});
