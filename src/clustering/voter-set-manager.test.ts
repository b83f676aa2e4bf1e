/** A group whose leader keeps its voters, with real members over a network in one process. */
import { expect, it, onTestFinished } from 'vitest';
import { GROUP, type RunningMember, startCluster } from '../../tests/support/consensus-cluster.js';
import { waitUntil } from '../../tests/support/wait-until.js';
import { sleep } from '../common/index.js';
import type { Member } from '../consensus/index.js';
import type { LogFields, Logger } from '../observability/index.js';
import { MethodRouter } from '../wire/index.js';
import { REQUEST_ADMISSION } from './messages.js';
import { VoterSetManager } from './voter-set-manager.js';

/** Longer than a process that presented itself is remembered, in milliseconds. */
const CANDIDATE_MEMORY_MS = 2_600;

class StepRecorder implements Logger {
  readonly steps: LogFields[] = [];

  debug(): void {}
  warn(): void {}
  error(): void {}

  info(message: string, fields?: LogFields): void {
    if (message === 'membership step') this.steps.push(fields!);
  }
}

/** A keeper on the group's leader with what it logs and what hears the members that present themselves. */
function keepVoters(leader: RunningMember) {
  const recorder = new StepRecorder();
  const keeper = new VoterSetManager(leader.group, {
    targetVoters: 3,
    isRetiring: () => false,
    logger: recorder,
  });
  onTestFinished(() => keeper.stop());
  const router = new MethodRouter();
  keeper.registerHandler(router);
  const present = (member: Member) =>
    router.find(REQUEST_ADMISSION.name)!({ group: GROUP, member }, { peerName: member.name });
  const steps = () => recorder.steps.map(({ step, member }) => `${step} ${member}`);
  return { present, steps };
}

/**
 * Symptom: a leader added and removed a member without power by turns, eight steps in 0.7 s, and told
 * every watcher of the cluster's change at each of them.
 * Sequence: a voter presents itself, loses power, is replaced by a learner and removed.
 * Cause: what had presented itself was remembered for 2.5 s, also after it had been removed as silent.
 * What settled it: the leader's log of membership steps, all of one member whose process had ended.
 */
it('does not take back a member that it removed for its silence', async () => {
  const cluster = await startCluster();
  const leader = await cluster.waitLeader();
  const { present, steps } = keepVoters(leader);
  const spare: Member = { id: 'spare', name: 'spare', address: 'spare:1', role: 'learner' };
  await cluster.start(spare, false);
  await present(spare);
  await waitUntil('spare taken in', () => leader.group.configuration.members.length === 4);
  const victim = cluster.members.find(({ group, member }) => !group.isLeader && member !== spare)!;
  await present(victim.member);
  await cluster.crash(victim.member.id);
  await waitUntil('victim removed', () => steps().includes(`remove ${victim.member.id}`));
  await sleep(CANDIDATE_MEMORY_MS);
  expect(steps()).toEqual([
    `add-learner ${spare.id}`,
    `promote ${spare.id}`,
    `remove ${victim.member.id}`,
  ]);
});

it('takes a member that lost its disk back at once, though its old identity was there just now', async () => {
  const cluster = await startCluster();
  const leader = await cluster.waitLeader();
  const { present, steps } = keepVoters(leader);

  const victim = cluster.members.find(({ group }) => !group.isLeader)!;
  await present(victim.member);
  const old = await cluster.crash(victim.member.id);
  await cluster.loseDisk(old);
  const renewed: Member = { ...old, id: `${old.name}-second`, role: 'learner' };
  await cluster.start(renewed, false);
  await waitUntil('voter in its old place', async () => {
    await present(renewed);
    const { members } = leader.group.configuration;
    return (
      members.length === 3 && members.some(({ id, role }) => id === renewed.id && role === 'voter')
    );
  });
  expect(steps()).toEqual([
    `add-learner ${renewed.id}`,
    `promote ${renewed.id}`,
    `remove ${old.id}`,
  ]);
});
