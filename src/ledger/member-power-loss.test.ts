/**
 * One member's snapshots and log over a process that is killed between two steps which belong together, and a
 * machine that loses its power later.
 */
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
/** The follower never stands for an election by itself. */
const NEVER_MS = 600_000;
/** A leader that probes, sends its snapshot and goes on behind it needs no more messages than this. */
const MOST_MESSAGES = 6;

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

/** A real member on a simulated disk, and a leader that the test plays. */
class FollowerOfScript {
  private readonly network = new LoopbackNetwork();
  private readonly peers: PeerCaller = this.network.peersOf(LEADER.address);

  /** @param isFounder whether it writes the group's first entry itself */
  constructor(
    readonly disk: SimulatedDisk,
    private readonly isFounder = true,
  ) {
    onTestFinished(() => disk.kill());
  }

  start(): Promise<RunningListMember> {
    const { disk, network } = this;
    const consensus = {
      electionTimeoutMs: NEVER_MS,
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

  /** As a leader does whose log begins behind a snapshot. @returns whether the follower took the entry */
  async bringPastSnapshot(index: number): Promise<boolean> {
    for (let messages = 0; messages < MOST_MESSAGES; messages += 2) {
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

/** The follower holds entries up to the fifth; it is killed once it has stored a snapshot up to the tenth. */
async function killBetweenSnapshotAndLog(script: FollowerOfScript): Promise<void> {
  await script.start();
  await script.append(commands(2, 5), 1, 1);
  script.disk.killBefore = LOG_WRITE;
  await expect(script.sendSnapshot(10)).rejects.toThrow();
  expect(script.disk.list()).toContain(`/data/snapshots/snapshot-${GROUP}`);
}

describe('a member that was killed between storing the snapshot of its leader and letting its log go', () => {
  /**
   * Two of three machines lost their power and the third its disk, while one of the two was being sent a snapshot.
   * That one came back with the snapshot's state and a log that ended before it. It took the leader's snapshot for
   * one that it had and refused the entries behind it, again and again: `append to member-1 refused
   * {"matchIndex":38}` with `lastIndex 38, appliedIndex 63`. The group committed nothing any more.
   */
  it('goes on behind the snapshot when the leader holds nothing before it', async () => {
    const script = new FollowerOfScript(new SimulatedDisk('member', { seed: 1 }));
    await killBetweenSnapshotAndLog(script);
    const { machine, fatal } = await script.start();
    expect(machine.items).toEqual(itemsUpTo(10));
    expect(await script.bringPastSnapshot(10)).toBe(true);
    expect(fatal).toEqual([]);
  });

  /**
   * The same member, with a leader whose log still reaches back to where the member's ends: the first entry that the
   * leader sent lay before the member's commit index, and the process ended by itself, after each start again.
   */
  it('goes on behind the snapshot when the leader still holds the entries before it', async () => {
    const script = new FollowerOfScript(new SimulatedDisk('member', { seed: 1 }));
    await killBetweenSnapshotAndLog(script);
    const { machine, fatal } = await script.start();
    await script.append(commands(6, 11), 5, 11);
    expect(fatal).toEqual([]);
    await waitUntil('applied', () => machine.items.length === itemsUpTo(11).length);
    expect(machine.items).toEqual(itemsUpTo(11));
  });

  /**
   * A member that comes new may be sent a snapshot before anything else. A snapshot that is stored before the term of its
   * leader is would look at the next start like one whose log is gone.
   */
  it('starts again where the snapshot was the first that it was sent', async () => {
    const script = new FollowerOfScript(new SimulatedDisk('member', { seed: 1 }), false);
    await script.start();
    script.disk.killBefore = LOG_WRITE;
    await expect(script.sendSnapshot(10)).rejects.toThrow();
    const { machine, fatal } = await script.start();
    expect(await script.bringPastSnapshot(10)).toBe(true);
    expect(machine.items).toEqual(itemsUpTo(10));
    expect(fatal).toEqual([]);
  });

  /** Entries of an earlier leader, which the snapshot replaces, must not be taken for what was committed. */
  it('lets entries go that the snapshot contradicts', async () => {
    const script = new FollowerOfScript(new SimulatedDisk('member', { seed: 1 }));
    await script.start();
    await script.append(commands(2, 12, 1), 1, 1);
    script.disk.killBefore = LOG_WRITE;
    await expect(script.sendSnapshot(10)).rejects.toThrow();
    const { group, fatal } = await script.start();
    expect(await script.bringPastSnapshot(10)).toBe(true);
    expect(group.log.lastIndex).toBe(11);
    expect(fatal).toEqual([]);
  });
});

describe('a member that was killed between renaming its snapshot and syncing the folder', () => {
  /**
   * The next process read the new snapshot, so that a snapshot of the same index was not written again; the log was
   * told to let go what the snapshot covers. Then the power went, and with it the new name of the file: the start after
   * that found the snapshot before, or none, and refused: `snapshot behind index 5 is missing`.
   */
  it('does not let its log go for a snapshot that a loss of power takes back', async () => {
    const script = new FollowerOfScript(new SimulatedDisk('member', { seed: 1 }));
    await script.start();
    script.disk.killBefore = 'sync folder /data/snapshots';
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
