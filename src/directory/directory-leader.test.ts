/** What the directory's leader answers, over a group that commits at once. */
import { describe, expect, it } from 'vitest';
import { CommittingDirectory } from '../../tests/support/committing-directory.js';
import { sampleRegistration } from '../../tests/support/directory-samples.js';
import { sleep } from '../common/index.js';
import { BackendCache } from './backend-cache.js';
import {
  type NodeAnnouncement,
  INITIAL_KNOWN_VERSIONS,
  type NodeRole,
  type WatchRequest,
} from './messages.js';
import { unpackRoutes, unpackSource } from './packed-configuration.js';
import { unpackJson } from './packed-json.js';
import type { SilenceDelta } from './silent-backend-tracker.js';

const HERD_SIZE = 200;
const HERD_WINDOW_MS = 700;
/** Longer than changes of the cluster are gathered, in milliseconds. */
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

describe('the directory leader', () => {
  it('commits a configuration once, however often it is sent, and none that was overtaken', async () => {
    const committing = new CommittingDirectory();
    await committing.put(5);
    await committing.put(5);
    await committing.put(3);
    expect(committing.proposals).toHaveLength(1);
    expect(unpackSource(committing.leader.stateMachine.configuration!)).toBe('5');
    await committing.put(6);
    expect(committing.proposals).toHaveLength(2);
  });

  it('sends configurations and back ends to gateways only', async () => {
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

  it('sends the one packed configuration that it keeps to every gateway', async () => {
    const committing = new CommittingDirectory();
    await committing.put(5);
    const first = await committing.leader.watch(watchOf('gateway'));
    const second = await committing.leader.watch(watchOf('gateway'));
    expect(first.configuration!.routes).toBe(committing.leader.stateMachine.configuration!.routes);
    expect(second.configuration!.routes).toBe(first.configuration!.routes);
  });

  it('tells a watcher of many processes that announce themselves at once in few answers', async () => {
    const committing = new CommittingDirectory();
    let known = (await committing.leader.watch(watchOf('journal'))).cluster!.version;
    let answers = 0;
    const until = performance.now() + HERD_WINDOW_MS;
    const herd = Array.from({ length: HERD_SIZE }, async (_, number) => {
      await sleep((number * HERD_WINDOW_MS) / HERD_SIZE / 2);
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
      answers += 1;
      known = view.cluster.version;
    }
    await Promise.all(herd);
    const last = await committing.leader.watch(watchOf('journal'));
    expect(last.cluster!.ledgerAddresses.length).toBeGreaterThanOrEqual(HERD_SIZE);
    expect(answers).toBeGreaterThan(0);
    expect(answers).toBeLessThan(HERD_SIZE / 10);
  });

  // Versions that only a leader counts carry its term. A leader that was deposed while a question waited answered by the
  // term of the next one: the asker then took the next leader's versions for what it held, up to the same count.
  it('tells nothing that only a leader knows once it leads no more', async () => {
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

  it('does not send the cluster again because a back end or a configuration has changed', async () => {
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
