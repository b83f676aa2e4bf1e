/** Voter management with real members over an in-process network. */
import { expect, it, onTestFinished } from 'vitest';
import { GROUP, type RunningMember, startCluster } from '../../tests/support/consensus-cluster.js';
import { waitUntil } from '../../tests/support/wait-until.js';
import { sleep } from '../common/index.js';
import type { Member } from '../consensus/index.js';
import type { LogFields, Logger } from '../observability/index.js';
import { MethodRouter } from '../wire/index.js';
import { REQUEST_ADMISSION } from './messages.js';
import { VoterSetManager } from './voter-set-manager.js';

/** Longer than the lifetime of a candidate entry, in milliseconds. */
const CANDIDATE_EXPIRED_MS = 2_600;

class StepRecorder implements Logger {
  readonly steps: LogFields[] = [];

  debug(): void {}
  warn(): void {}
  error(): void {}

  info(message: string, fields?: LogFields): void {
    if (message === 'membership step') this.steps.push(fields!);
  }
}

/** A manager on the group's leader, with its logged steps and a function that announces members to it. */
function startManager(leader: RunningMember) {
  const recorder = new StepRecorder();
  const manager = new VoterSetManager(leader.group, {
    targetVoters: 3,
    isRetiring: () => false,
    logger: recorder,
  });
  onTestFinished(() => manager.stop());
  const router = new MethodRouter();
  router.handle(REQUEST_ADMISSION, (request) => manager.requestAdmission(request));
  const announce = (member: Member) =>
    router.find(REQUEST_ADMISSION.name)!({ group: GROUP, member }, { peerName: member.name });
  const steps = () => recorder.steps.map(({ step, member }) => `${step} ${member}`);
  return { announce, steps };
}

/**
 * Guards against admitting and removing a crashed member repeatedly because its last announcement has not expired.
 */
it('does not admit a crashed member again after removing it', async () => {
  const cluster = await startCluster();
  const leader = await cluster.waitLeader();
  const { announce, steps } = startManager(leader);
  const spare: Member = { id: 'spare', name: 'spare', address: 'spare:1', role: 'learner' };
  await cluster.start(spare, false);
  await announce(spare);
  await waitUntil('spare admitted', () => leader.group.configuration.members.length === 4);
  const victim = cluster.members.find(({ group, member }) => !group.isLeader && member !== spare)!;
  await announce(victim.member);
  await cluster.crash(victim.member.id);
  await waitUntil('victim removed', () => steps().includes(`remove ${victim.member.id}`));
  await sleep(CANDIDATE_EXPIRED_MS);
  expect(steps()).toEqual([
    `add-learner ${spare.id}`,
    `promote ${spare.id}`,
    `remove ${victim.member.id}`,
  ]);
});

it('immediately admits a member that lost its disk, although its old identity was seen recently', async () => {
  const cluster = await startCluster();
  const leader = await cluster.waitLeader();
  const { announce, steps } = startManager(leader);

  const victim = cluster.members.find(({ group }) => !group.isLeader)!;
  await announce(victim.member);
  const old = await cluster.crash(victim.member.id);
  await cluster.deleteDisk(old);
  const renewed: Member = { ...old, id: `${old.name}-second`, role: 'learner' };
  await cluster.start(renewed, false);
  await waitUntil('voter under its new identity', async () => {
    await announce(renewed);
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
