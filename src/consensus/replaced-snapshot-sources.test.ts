/** Sources of external data after all members named in a snapshot have been replaced. */
import { expect, it } from 'vitest';
import {
  type ConsensusCluster,
  ListMachine,
  type RunningMember,
  startCluster,
} from '../../tests/support/consensus-cluster.js';
import { waitUntil } from '../../tests/support/wait-until.js';
import { sleep } from '../common/index.js';
import { type LogEntry } from '../log-store/index.js';
import { encodeValue } from '../wire/index.js';
import type { Member } from './configuration.js';
import type { ExternalState } from './state-machine.js';

const SIZE = 3;
/** Much longer than the interval at which a snapshot is resent, in milliseconds. */
const CATCH_UP_MS = 2_000;

/** External data that every running member holds and serves. */
class SharedExternalState implements ExternalState {
  constructor(private readonly isRunning: (member: Member) => boolean) {}

  sync(): Promise<void> {
    return Promise.resolve();
  }

  attach(entries: readonly LogEntry[]): Promise<readonly LogEntry[]> {
    return Promise.resolve(entries);
  }

  noteLogged(): void {
    // There are no attachments.
  }

  async fetchMissing(_snapshot: unknown, sources: readonly Member[]): Promise<void> {
    if (!sources.some(this.isRunning)) throw new Error('held by no member that answered');
  }
}

/** Adds a voter and removes a previous one. */
async function replace(cluster: ConsensusCluster, old: RunningMember, name: string): Promise<void> {
  const leader = await cluster.waitLeader();
  const { group } = leader;
  const learner: Member = { id: `${name}-first`, name, address: name, role: 'learner' };
  await cluster.start(learner, false);
  await waitUntil('settled', () => group.isConfigurationSettled);
  await group.addMember(learner);
  await waitUntil('caught up', () => group.matchIndexOf(learner.id) === group.log.lastIndex);
  await group.addMember({ ...learner, role: 'voter' });
  if (group.ownId === old.member.id) {
    await group.transferLeadership();
    await cluster.waitLeader(old.member.id);
  }
  const { group: current } = await cluster.waitLeader();
  await waitUntil('settled', () => current.isConfigurationSettled);
  await current.removeMember(old.member.id);
  await cluster.crash(old.member.id);
}

/**
 * Regression test: a new member asked only the members named in the snapshot for external data.
 * After all of them had been replaced, it could never install the snapshot.
 */
it('are the current members, and not only those named in a snapshot', async () => {
  const cluster: ConsensusCluster = await startCluster({
    size: SIZE,
    createMachine: () =>
      new ListMachine(new SharedExternalState(({ id }) => cluster.running.has(id))),
  });
  const founders = cluster.members;
  const first = await cluster.waitLeader();
  await first.group.propose(encodeValue('item'));
  await waitUntil('all applied', () =>
    founders.every(({ group }) => group.applier.appliedIndex === first.group.log.lastIndex),
  );
  for (const { group } of founders) group.applier.requestSnapshot();
  await waitUntil('snapshots made', () =>
    founders.every(({ group }) => group.log.compactedTo.index > 0),
  );
  for (const [place, founder] of founders.entries()) {
    await replace(cluster, founder, `replacement-${place}`);
  }
  const { group } = await cluster.waitLeader();
  const latest: Member = { id: 'latest-first', name: 'latest', address: 'latest', role: 'learner' };
  await cluster.start(latest, false);
  await waitUntil('settled', () => group.isConfigurationSettled);
  await group.addMember(latest);
  await sleep(CATCH_UP_MS);
  expect(group.isLeader).toBe(true);
  expect(group.matchIndexOf(latest.id)).toBe(group.log.lastIndex);
});
