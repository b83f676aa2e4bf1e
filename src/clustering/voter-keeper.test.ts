/** A group whose leader keeps its voters, with real members over a network in one process. */
import { expect, it, onTestFinished } from 'vitest';
import { GROUP, startCluster } from '../../tests/support/consensus-cluster.js';
import { waitUntil } from '../../tests/support/wait-until.js';
import type { Member } from '../consensus/index.js';
import type { LogFields, Logger } from '../observability/index.js';
import { MethodRouter } from '../wire/index.js';
import { REQUEST_ADMISSION } from './messages.js';
import { VoterKeeper } from './voter-keeper.js';

class StepRecorder implements Logger {
  readonly steps: LogFields[] = [];

  debug(): void {}
  warn(): void {}
  error(): void {}

  info(message: string, fields?: LogFields): void {
    if (message === 'membership step') this.steps.push(fields!);
  }
}

it('takes a member that lost its disk back at once, though its old identity was there just now', async () => {
  const cluster = await startCluster();
  const leader = await cluster.waitLeader();
  const recorder = new StepRecorder();
  const keeper = new VoterKeeper(leader.group, {
    wishedVoters: 3,
    isRetiring: () => false,
    logger: recorder,
  });
  onTestFinished(() => keeper.stop());
  const router = new MethodRouter();
  keeper.registerHandler(router);
  const present = (member: Member) =>
    router.find(REQUEST_ADMISSION.name)!({ group: GROUP, member }, { peerName: member.name });

  const victim = cluster.members.find(({ group }) => !group.isLeader)!;
  await present(victim.member);
  const old = await cluster.crash(victim.member.id);
  cluster.loseDisk(old);
  const renewed: Member = { ...old, id: `${old.name}-second`, role: 'learner' };
  await cluster.start(renewed, false);
  await waitUntil('voter in its old place', async () => {
    await present(renewed);
    const { members } = leader.group.configuration;
    return (
      members.length === 3 && members.some(({ id, role }) => id === renewed.id && role === 'voter')
    );
  });
  expect(recorder.steps.map(({ step, member }) => `${step} ${member}`)).toEqual([
    `add-learner ${renewed.id}`,
    `promote ${renewed.id}`,
    `remove ${old.id}`,
  ]);
});
