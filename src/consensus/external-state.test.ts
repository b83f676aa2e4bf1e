/** Snapshots that refer to external data, and logs bounded in bytes. */
import { describe, expect, it } from 'vitest';
import {
  type ConsensusCluster,
  GROUP,
  ListMachine,
  startCluster,
} from '../../tests/support/consensus-cluster.js';
import { waitUntil } from '../../tests/support/wait-until.js';
import { Deferred, sleep } from '../common/index.js';
import { DiskFullError, type LogEntry, StorageFullError } from '../log-store/index.js';
import { encodeValue } from '../wire/index.js';
import type { ExternalState } from './state-machine.js';

const LIMITS = { timeoutMs: 10_000 };
const ITEM_BYTES = 100;
const CONSENSUS = { snapshotEveryBytes: 2_000, trailingBytes: 500 };

/** External state whose operations can be delayed or made to fail. Counts the fetches. */
class ScriptedExternalState implements ExternalState {
  synced: () => Promise<void> = () => Promise.resolve();
  fetched: () => Promise<void> = () => Promise.resolve();
  fetches = 0;
  sourcesAsked: string[] = [];

  sync(): Promise<void> {
    return this.synced();
  }

  async attach(entries: readonly LogEntry[]): Promise<readonly LogEntry[]> {
    return entries;
  }

  noteLogged(): void {}

  fetchMissing(_snapshot: unknown, sources: readonly { name: string }[]): Promise<void> {
    this.fetches += 1;
    this.sourcesAsked = sources.map(({ name }) => name);
    return this.fetched();
  }
}

interface ScriptedCluster {
  cluster: ConsensusCluster;
  externalOf: (id: string) => ScriptedExternalState;
}

async function startScripted(consensus = {}): Promise<ScriptedCluster> {
  const externals = new Map<string, ScriptedExternalState>();
  const cluster = await startCluster({
    consensus: { ...CONSENSUS, ...consensus },
    createMachine: ({ id }) => {
      const external = externals.get(id) ?? new ScriptedExternalState();
      externals.set(id, external);
      return new ListMachine(external);
    },
  });
  return { cluster, externalOf: (id) => externals.get(id)! };
}

async function appendItems(cluster: ConsensusCluster, count: number): Promise<void> {
  const client = cluster.client();
  for (let item = 0; item < count; item += 1) {
    await client.execute(GROUP, String(item).padEnd(ITEM_BYTES, '.'), LIMITS);
  }
}

describe('a log that is bounded in bytes', () => {
  it('creates snapshots by size and keeps few bytes before them', async () => {
    const cluster = await startCluster({ consensus: CONSENSUS });
    await appendItems(cluster, 100);
    for (const { group } of cluster.members) {
      await waitUntil('compacted', () => group.log.compactedTo.index > 50);
      await waitUntil('few bytes held', () => group.log.heldBytes < 4_000);
    }
    expect(cluster.members.flatMap(({ fatalErrors }) => fatalErrors)).toEqual([]);
  });

  it('counts held bytes correctly over truncations and compactions', async () => {
    const cluster = await startCluster({ consensus: CONSENSUS });
    await appendItems(cluster, 70);
    for (const { group } of cluster.members) {
      const { log } = group;
      let bytes = 0;
      for (let index = log.compactedTo.index + 1; index <= log.lastIndex; index += 1) {
        bytes += log.entryAt(index)!.data.length;
      }
      expect(log.heldBytes).toBe(bytes);
    }
  });

  it('rejects commands above the memory limit, and accepts them again later', async () => {
    const { cluster, externalOf } = await startScripted({ maxHeldBytes: 5_000 });
    const leader = await cluster.waitLeader();
    const disk = new Deferred<void>();
    for (const { member } of cluster.members) externalOf(member.id).synced = () => disk.promise;
    await appendItems(cluster, 45);
    await waitUntil('memory limit reached', () => leader.group.log.heldBytes >= 4_500);
    const big = encodeValue('x'.repeat(1_000));
    await leader.group.propose(big);
    await expect(leader.group.propose(big)).rejects.toBeInstanceOf(StorageFullError);
    expect(leader.group.isLeader).toBe(true);
    disk.resolve();
    await waitUntil('entries released', () => leader.group.log.heldBytes < 4_000);
    await leader.group.propose(big);
    expect(leader.machine.items).toHaveLength(47);
  });
});

describe('external state', () => {
  it('is synced before a snapshot that refers to it allows compaction', async () => {
    const { cluster, externalOf } = await startScripted();
    const leader = await cluster.waitLeader();
    const external = externalOf(leader.member.id);
    const disk = new Deferred<void>();
    external.synced = () => disk.promise;
    await appendItems(cluster, 60);
    await sleep(100);
    expect(leader.group.log.compactedTo.index).toBe(0);
    disk.resolve();
    await waitUntil('compacted', () => leader.group.log.compactedTo.index > 0);
  });

  it('on a full disk fails the snapshot but not the process', async () => {
    const { cluster, externalOf } = await startScripted();
    const leader = await cluster.waitLeader();
    const external = externalOf(leader.member.id);
    const full = new DiskFullError('full', { step: 'test', retriable: true });
    external.synced = () => Promise.reject(full);
    await appendItems(cluster, 60);
    await sleep(100);
    expect(leader.group.log.compactedTo.index).toBe(0);
    external.synced = () => Promise.resolve();
    await appendItems(cluster, 30);
    await waitUntil('compacted', () => leader.group.log.compactedTo.index > 0);
    expect(leader.fatalErrors).toEqual([]);
  });

  // Only further commands may make room, so that an applier that waited for it could wait for good.
  it('delays no committed command, although nothing can be stored', async () => {
    const { cluster, externalOf } = await startScripted();
    await cluster.waitLeader();
    const follower = cluster.members.find(({ group }) => !group.isLeader)!;
    const room = new Deferred<void>();
    externalOf(follower.member.id).synced = () => room.promise;
    await appendItems(cluster, 60);
    await waitUntil('applied', () => follower.machine.items.length === 60);
    expect(follower.group.log.compactedTo.index).toBe(0);
    room.resolve();
    await waitUntil('compacted', () => follower.group.log.compactedTo.index > 0);
  });

  it('is fetched before a snapshot is installed, with retries', async () => {
    const { cluster, externalOf } = await startScripted();
    await cluster.waitLeader();
    const follower = cluster.members.find(({ group }) => !group.isLeader)!;
    const member = await cluster.crash(follower.member.id);
    await appendItems(cluster, 60);
    const external = externalOf(member.id);
    external.fetched = () => Promise.reject(new Error('not there yet'));
    const restarted = await cluster.start(member, false);
    await waitUntil('asked twice', () => external.fetches >= 2);
    expect(restarted.machine.items).toHaveLength(0);
    expect(external.sourcesAsked).not.toContain(member.name);
    expect(external.sourcesAsked).toHaveLength(2);
    external.fetched = () => Promise.resolve();
    await waitUntil('installed', () => restarted.machine.items.length === 60);
    expect(restarted.fatalErrors).toEqual([]);
  });

  it('is not fetched concurrently for the same snapshot', async () => {
    const { cluster, externalOf } = await startScripted();
    const leader = await cluster.waitLeader();
    const follower = cluster.members.find(({ group }) => !group.isLeader)!;
    const external = externalOf(follower.member.id);
    await appendItems(cluster, 60);
    const snapshot = { index: 1_000, term: leader.group.term, state: encodeValue(['a']) };
    const configuration = encodeValue(leader.group.configuration);
    const fetch = new Deferred<void>();
    external.fetched = () => fetch.promise;
    const { applier } = follower.group;
    const members = leader.group.configuration;
    const installs = [1, 2].map(() => applier.install({ ...snapshot, configuration }, members));
    await sleep(50);
    expect(external.fetches).toBe(1);
    fetch.resolve();
    await Promise.all(installs);
    expect(external.fetches).toBe(1);
  });
});
