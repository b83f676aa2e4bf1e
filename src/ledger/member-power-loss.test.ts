/** Consistency of a member's snapshots and log after a kill between two dependent disk operations. */
import { describe, expect, it, onTestFinished, vi } from 'vitest';
import { GROUP } from '../../tests/support/consensus-cluster.js';
import { LoopbackNetwork } from '../../tests/support/loopback-network.js';
import {
  type RunningListMember,
  startListMember,
} from '../../tests/support/simulated-disk-group.js';
import { SimulatedDisk } from '../../tests/support/simulated-disk.js';
import { waitUntil } from '../../tests/support/wait-until.js';
import type { Member, PeerCaller } from '../consensus/index.js';
import { encodeConfiguration } from '../consensus/configuration.js';
import { APPEND, SNAPSHOT, type AppendResponse } from '../consensus/messages.js';
import type { LogEntry } from '../log-store/index.js';
import { encodeValue } from '../wire/index.js';

vi.mock('node:fs/promises', async (importOriginal) => {
  const { withSimulatedDisks } = await import('../../tests/support/simulated-disk-files.js');
  return withSimulatedDisks(await importOriginal());
});

const FOLLOWER = founder('follower');
const LEADER = founder('leader');
const FOUNDERS: Member[] = [FOLLOWER, LEADER, founder('other')];
const TERM = 2;
const CALL_LIMITS = { timeoutMs: 5_000 };
const SNAPSHOT_EVERY_ENTRIES = 4;
/** Long enough that the follower never starts an election. */
const NO_ELECTION_MS = 600_000;
/** Enough messages for a leader to probe, send its snapshot and append after it. */
const MAX_MESSAGES = 6;

function founder(name: string): Member {
  return { id: `${name}-id`, name, address: name, role: 'voter' };
}

function commands(first: number, last: number, term = TERM): LogEntry[] {
  return Array.from({ length: last - first + 1 }, (_, place) => {
    const index = first + place;
    const data = encodeValue(`item-${index}`);
    return { index, term, kind: 'command', data };
  });
}

function itemsUpTo(last: number): string[] {
  return Array.from({ length: last - 1 }, (_, place) => `item-${place + 2}`);
}

/** A real follower on a simulated disk with a scripted leader. */
class FollowerOfScript {
  private readonly network = new LoopbackNetwork();
  private readonly peers: PeerCaller = this.network.peersOf(LEADER.address);

  /** @param isFounder whether the follower writes the group's first entry itself */
  constructor(
    readonly disk: SimulatedDisk,
    private readonly isFounder = true,
  ) {
    onTestFinished(() => disk.kill());
  }

  start(): Promise<RunningListMember> {
    const { disk, network } = this;
    const consensus = {
      electionTimeoutMs: NO_ELECTION_MS,
      snapshotEveryEntries: SNAPSHOT_EVERY_ENTRIES,
    };
    const founders = this.isFounder ? FOUNDERS : [];
    return startListMember({ disk, network, own: FOLLOWER, founders, consensus });
  }

  append(entries: LogEntry[], previousIndex: number, commitIndex: number): Promise<AppendResponse> {
    const previousTerm = previousIndex === 1 ? 1 : TERM;
    const place = { previousIndex, previousTerm, entries, commitIndex };
    return this.peers.call(FOLLOWER.address, APPEND, { ...this.head, ...place }, CALL_LIMITS);
  }

  async sendSnapshot(index: number): Promise<void> {
    const state = encodeValue(itemsUpTo(index));
    const mark = { index, term: TERM };
    const configuration = encodeConfiguration({ members: FOUNDERS });
    const latestConfiguration = configuration;
    const onlyChunk = { stateBytes: state.length, offset: 0, chunk: state };
    const whole = { mark, configuration, latestConfiguration, ...onlyChunk };
    await this.peers.call(FOLLOWER.address, SNAPSHOT, { ...this.head, ...whole }, CALL_LIMITS);
  }

  /** Acts as a leader whose log starts after a snapshot. @returns whether the follower accepted the entry */
  async bringPastSnapshot(index: number): Promise<boolean> {
    for (let messages = 0; messages < MAX_MESSAGES; messages += 2) {
      const { success } = await this.append(commands(index + 1, index + 1), index, index);
      if (success) return true;
      await this.sendSnapshot(index);
    }
    return false;
  }

  private get head() {
    return { group: GROUP, to: FOLLOWER.id, from: LEADER.id, term: TERM };
  }
}

const LOG_WRITE = 'write /data/log/segment-0000000001.log';
/** Last operation that stores a snapshot. */
const SNAPSHOT_STORED = 'sync folder /data/snapshots';

/** Kills a follower with entries up to 5 after it has stored a snapshot up to 10, before it compacts its log. */
async function killBetweenSnapshotAndLog(script: FollowerOfScript): Promise<void> {
  await script.start();
  await script.append(commands(2, 5), 1, 1);
  script.disk.killBeforeFollowing(SNAPSHOT_STORED, LOG_WRITE);
  await expect(script.sendSnapshot(10)).rejects.toThrow();
  expect(script.disk.list()).toContain(`/data/snapshots/snapshot-${GROUP}`);
}

describe('a member that was killed between storing a snapshot of its leader and compacting its log', () => {
  /**
   * Restarts with a log that ends before the snapshot. The member must not refuse the entries after the snapshot
   * forever, which would block all commits.
   */
  it('continues after the snapshot if the leader has compacted the entries before it', async () => {
    const script = new FollowerOfScript(new SimulatedDisk('member', { seed: 1 }));
    await killBetweenSnapshotAndLog(script);
    const { machine, fatal } = await script.start();
    expect(machine.items).toEqual(itemsUpTo(10));
    expect(await script.bringPastSnapshot(10)).toBe(true);
    expect(fatal).toEqual([]);
  });

  /** Entries before the member's commit index must not make the process exit. */
  it('continues after the snapshot if the leader still has the entries before it', async () => {
    const script = new FollowerOfScript(new SimulatedDisk('member', { seed: 1 }));
    await killBetweenSnapshotAndLog(script);
    const { machine, fatal } = await script.start();
    await script.append(commands(6, 11), 5, 11);
    expect(fatal).toEqual([]);
    await waitUntil('applied', () => machine.items.length === itemsUpTo(11).length);
    expect(machine.items).toEqual(itemsUpTo(11));
  });

  /** A snapshot that is stored before the leader's term must not look like one with a missing log after a restart. */
  it('restarts if the snapshot was the first message that it received', async () => {
    const script = new FollowerOfScript(new SimulatedDisk('member', { seed: 1 }), false);
    await script.start();
    script.disk.killBefore = LOG_WRITE;
    await expect(script.sendSnapshot(10)).rejects.toThrow();
    const { machine, fatal } = await script.start();
    expect(await script.bringPastSnapshot(10)).toBe(true);
    expect(machine.items).toEqual(itemsUpTo(10));
    expect(fatal).toEqual([]);
  });

  /** Uncommitted entries of an earlier leader must not be taken for committed ones. */
  it('discards entries that conflict with the snapshot', async () => {
    const script = new FollowerOfScript(new SimulatedDisk('member', { seed: 1 }));
    await script.start();
    await script.append(commands(2, 12, 1), 1, 1);
    script.disk.killBeforeFollowing(SNAPSHOT_STORED, LOG_WRITE);
    await expect(script.sendSnapshot(10)).rejects.toThrow();
    const { group, fatal } = await script.start();
    expect(await script.bringPastSnapshot(10)).toBe(true);
    expect(group.log.lastIndex).toBe(11);
    expect(fatal).toEqual([]);
  });
});

describe('a member that was killed between renaming its snapshot and syncing the folder', () => {
  /**
   * The next process reads the renamed snapshot and compacts its log. If the rename is not synced first, a power failure
   * reverts it, and the member cannot start because entries are missing.
   */
  it('does not compact its log for a snapshot that a power failure can revert', async () => {
    const script = new FollowerOfScript(new SimulatedDisk('member', { seed: 1 }));
    await script.start();
    script.disk.killBefore = SNAPSHOT_STORED;
    await script.append(commands(2, 5), 1, 1);
    await script.append([], 5, 5).catch(() => undefined);
    await waitUntil('killed', () => !script.disk.isAlive);
    const { group } = await script.start();
    expect(group.applier.appliedIndex).toBe(5);
    group.applier.requestSnapshot();
    await waitUntil('log let go', () => group.log.compactedTo.index === 5);
    await group.log.saveHardState({ term: TERM, votedFor: undefined });
    script.disk.losePower('drops-all');
    const { machine } = await script.start();
    expect(machine.items).toEqual(itemsUpTo(5));
  });
});
