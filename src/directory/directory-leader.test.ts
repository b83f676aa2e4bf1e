/** Responses of the directory's leader, with a group that commits immediately. */
import { describe, expect, it } from 'vitest';
import { CommittingDirectory } from '../../tests/support/committing-directory.js';
import { sampleRegistration } from '../../tests/support/directory-samples.js';
import { sleep } from '../common/index.js';
import { encodeValue } from '../wire/index.js';
import { BackendCache } from './backend-cache.js';
import type { DirectoryLeader } from './directory-leader.js';
import {
  type NodeAnnouncement,
  INITIAL_KNOWN_VERSIONS,
  type NodeRole,
  type WatchRequest,
} from './messages.js';
import { unpackRoutes, unpackSource } from './packed-configuration.js';
import { unpackJson } from './packed-json.js';
import type { SilenceDelta } from './silent-backend-tracker.js';

const NODE_COUNT = 200;
const ANNOUNCEMENT_WINDOW_MS = 700;
/** Longer than the delay for batching cluster changes, in milliseconds. */
const SETTLE_MS = 300;

function journalNode(number: number): NodeAnnouncement {
  return {
    name: `j${number}`,
    role: 'journal',
    address: `j${number}:1`,
    zone: 'z',
    memberId: `m${number}`,
  };
}

function watchOf(role: NodeRole): WatchRequest {
  return {
    node: { name: role, role, address: 'a:1', zone: 'z' },
    known: INITIAL_KNOWN_VERSIONS,
    isUrgent: true,
    loads: [],
  };
}

/** A leader of a directory whose ledger has two groups with one machine, which is being retired. */
async function startRetirement(machine: string): Promise<DirectoryLeader> {
  const { leader, group } = new CommittingDirectory();
  const founders = [{ id: machine, name: machine, address: `${machine}:1`, role: 'voter' }];
  const furtherGroups = [{ name: 'ledger-2', founders }];
  await group.propose(encodeValue({ kind: 'found-ledger', founders, furtherGroups }));
  await group.propose(encodeValue({ kind: 'start-retirement', node: machine }));
  return leader;
}

describe('the directory leader', () => {
  it('commits a configuration once, however often it is sent, and never an older generation', async () => {
    const committing = new CommittingDirectory();
    await committing.put(5);
    await committing.put(5);
    await committing.put(3);
    expect(committing.proposals).toHaveLength(1);
    expect(unpackSource(committing.leader.stateMachine.configuration!)).toBe('5');
    await committing.put(6);
    expect(committing.proposals).toHaveLength(2);
  });

  it('sends configurations and backends to gateways only', async () => {
    const committing = new CommittingDirectory();
    await committing.put(5);
    const forGateway = await committing.leader.watch(watchOf('gateway'));
    expect(unpackRoutes(forGateway.configuration!.routes).generation).toBe(5);
    expect(forGateway.backends).toBeDefined();
    const forJournal = await committing.leader.watch(watchOf('journal'));
    expect(forJournal.cluster).toBeDefined();
    expect(forJournal.configuration).toBeUndefined();
    expect(forJournal.backends).toBeUndefined();
  });

  it('sends the same packed configuration to every gateway', async () => {
    const committing = new CommittingDirectory();
    await committing.put(5);
    const first = await committing.leader.watch(watchOf('gateway'));
    const second = await committing.leader.watch(watchOf('gateway'));
    expect(first.configuration!.routes).toBe(committing.leader.stateMachine.configuration!.routes);
    expect(second.configuration!.routes).toBe(first.configuration!.routes);
  });

  it('batches the announcements of many processes into few responses', async () => {
    const committing = new CommittingDirectory();
    let known = (await committing.leader.watch(watchOf('journal'))).cluster!.version;
    let responses = 0;
    const until = performance.now() + ANNOUNCEMENT_WINDOW_MS;
    const announcements = Array.from({ length: NODE_COUNT }, async (_, number) => {
      await sleep((number * ANNOUNCEMENT_WINDOW_MS) / NODE_COUNT / 2);
      const request = watchOf('journal');
      await committing.leader.watch({ ...request, node: journalNode(number) });
    });
    while (performance.now() < until) {
      const request = { ...watchOf('journal'), isUrgent: false };
      const view = await committing.leader.watch({
        ...request,
        known: { ...request.known, cluster: known },
      });
      if (!view.cluster) continue;
      responses += 1;
      known = view.cluster.version;
    }
    await Promise.all(announcements);
    const last = await committing.leader.watch(watchOf('journal'));
    expect(last.cluster!.ledgerAddresses.length).toBeGreaterThanOrEqual(NODE_COUNT);
    expect(responses).toBeGreaterThan(0);
    expect(responses).toBeLessThan(NODE_COUNT / 10);
  });

  // Such versions include the leader's term: a response of a deposed leader with the next leader's term would make the
  // watcher skip updates of the next leader.
  it('omits leader-only state once it is no longer the leader', async () => {
    const committing = new CommittingDirectory();
    const first = await committing.leader.watch(watchOf('gateway'));
    const known = {
      ...INITIAL_KNOWN_VERSIONS,
      silence: unpackJson<SilenceDelta>(first.silence!).version,
      cluster: first.cluster!.version,
    };
    const held = committing.leader.watch({ ...watchOf('gateway'), known, isUrgent: false });
    Object.assign(committing.group, { isLeader: false, term: 2 });
    committing.leader.onLeadershipChange();
    const view = await held;
    expect(view.silence).toBeUndefined();
    expect(view.cluster).toBeUndefined();
  });

  /** A machine that still votes in a group must not be switched off, even if the other groups have replaced it. */
  it('completes a retirement only when the machine has left all ledger groups', async () => {
    const leader = await startRetirement('a');
    await leader.retirements.noteLeftGroup('a', 'ledger');
    await leader.retirements.noteLeftGroup('a', 'ledger');
    expect(leader.retirements.stateOf('a')).toBe('running');
    await leader.retirements.noteLeftGroup('a', 'ledger-2');
    expect(leader.retirements.stateOf('a')).toBe('complete');
  });

  it('forgets the groups that a machine has left when the leader changes', async () => {
    const leader = await startRetirement('a');
    await leader.retirements.noteLeftGroup('a', 'ledger');
    leader.onLeadershipChange();
    await leader.retirements.noteLeftGroup('a', 'ledger-2');
    expect(leader.retirements.stateOf('a')).toBe('running');
  });

  it('does not resend the cluster view when a backend or a configuration changes', async () => {
    const committing = new CommittingDirectory();
    const { version } = (await committing.leader.watch(watchOf('gateway'))).cluster!;
    await sleep(SETTLE_MS);
    const settled = await committing.leader.watch(watchOf('gateway'));
    await committing.put(5);
    await committing.leader.recordHeartbeat(sampleRegistration());
    await sleep(SETTLE_MS);
    const after = await committing.leader.watch(watchOf('gateway'));
    expect(version).toBeDefined();
    expect(after.cluster!.version).toBe(settled.cluster!.version);
    const held = new BackendCache();
    held.apply(after.backends!);
    expect(held.records()).toHaveLength(1);
  });
});
