/**
 * Deletion of external data that a snapshot refers to. A member that lacks such data must know after a restart that the
 * entries which made it unneeded are committed, or it cannot bring up a member that lags behind them.
 */
import { describe, expect, it } from 'vitest';
import { ListMachine, startCluster } from '../../tests/support/consensus-cluster.js';
import { waitUntil } from '../../tests/support/wait-until.js';
import { Deferred, sleep } from '../common/index.js';
import type { LogEntry } from '../log-store/index.js';
import { encodeValue } from '../wire/index.js';
import type { ExternalDeletions, ExternalState } from './state-machine.js';

const COMMANDS = 5;
const LATER_INDEX = 40;

/** External state in which each applied command makes data unneeded. */
class DeletingState implements ExternalState {
  readonly deletedUpTo: number[] = [];
  reportedCommitIndex = 0;
  /** Index of the latest applied command. */
  commandIndex = 0;
  attached: () => Promise<void> = () => Promise.resolve();
  readonly deletions: ExternalDeletions = this.createDeletions();

  async sync(): Promise<void> {}

  async attach(entries: readonly LogEntry[]): Promise<readonly LogEntry[]> {
    await this.attached();
    return entries;
  }

  noteLogged(): void {}

  async fetchMissing(): Promise<void> {}

  private createDeletions(): ExternalDeletions {
    const isPending = (): boolean => this.commandIndex > (this.deletedUpTo.at(-1) ?? 0);
    const reportedCommitIndex = (): number => this.reportedCommitIndex;
    return {
      get isPending() {
        return isPending();
      },
      get reportedCommitIndex() {
        return reportedCommitIndex();
      },
      deleteUpTo: (index) => void this.deletedUpTo.push(index),
    };
  }
}

class DeletingMachine extends ListMachine {
  constructor(private readonly state: DeletingState) {
    super(state);
  }

  override apply(command: Uint8Array, index = 0): unknown {
    this.state.commandIndex = index;
    return super.apply(command);
  }
}

async function startDeleting() {
  const externals = new Map<string, DeletingState>();
  const cluster = await startCluster({
    createMachine: ({ id }) => {
      const external = new DeletingState();
      externals.set(id, external);
      return new DeletingMachine(external);
    },
  });
  return { cluster, externalOf: (id: string) => externals.get(id)! };
}

describe('unneeded external data', () => {
  it('is deleted only when it is durable that its entries are committed', async () => {
    const { cluster, externalOf } = await startDeleting();
    const leader = await cluster.waitLeader();
    const external = externalOf(leader.member.id);
    for (let count = 0; count < COMMANDS; count += 1)
      await leader.group.propose(encodeValue(`item-${count}`));
    const { appliedIndex } = leader.group.applier;
    await waitUntil('deleted', () => external.deletedUpTo.at(-1) === appliedIndex);
    expect(leader.group.log.savedCommitIndex).toBe(appliedIndex);
    const stalled = cluster.members.find(({ group }) => !group.isLeader)!;
    const { deletedUpTo } = externalOf(stalled.member.id);
    stalled.disk.stall();
    await leader.group.propose(encodeValue('stalled'));
    const last = leader.group.applier.appliedIndex;
    await sleep(100);
    expect(deletedUpTo).not.toContain(last);
    stalled.disk.resume();
    await waitUntil('deleted after the stall', () => deletedUpTo.at(-1) === last);
  });

  /** The commit of a new entry would need the lagging member, which in turn needs to know what has expired. */
  it('is known to be unneeded by a new leader before any other member accepts an entry', async () => {
    const { cluster, externalOf } = await startDeleting();
    const leader = await cluster.waitLeader();
    for (let count = 0; count < COMMANDS; count += 1)
      await leader.group.propose(encodeValue(`item-${count}`));
    const { appliedIndex } = leader.group.applier;
    await waitUntil('deleted everywhere', () =>
      cluster.members.every(
        ({ member }) => externalOf(member.id).deletedUpTo.at(-1) === appliedIndex,
      ),
    );
    const members = cluster.members.map(({ member }) => member);
    for (const { id } of members) await cluster.crash(id);
    const refused = new Deferred<void>();
    for (const member of members) {
      const { group } = await cluster.start(member, false);
      expect(group.applier.appliedIndex).toBe(0);
      externalOf(member.id).attached = () => refused.promise;
    }
    const next = await cluster.waitLeader();
    await waitUntil('applied alone', () => next.group.applier.appliedIndex === appliedIndex);
    expect(next.group.commitIndex).toBe(appliedIndex);
    expect(next.machine.items).toHaveLength(COMMANDS);
    refused.resolve();
    await waitUntil('commits', () => next.group.isCurrentLeader);
    expect(cluster.members.flatMap(({ fatalErrors }) => fatalErrors)).toEqual([]);
  });

  it('of which another member reported is remembered with the entry that refers to it', async () => {
    const { cluster, externalOf } = await startDeleting();
    const leader = await cluster.waitLeader();
    const follower = cluster.members.find(({ group }) => !group.isLeader)!;
    const external = externalOf(follower.member.id);
    external.reportedCommitIndex = LATER_INDEX;
    await leader.group.propose(encodeValue('item'));
    await waitUntil('logged', () => follower.group.log.lastIndex === leader.group.log.lastIndex);
    expect(follower.group.log.savedCommitIndex).toBe(LATER_INDEX);
    const member = await cluster.crash(follower.member.id);
    const restarted = await cluster.start(member, false);
    expect(restarted.group.log.savedCommitIndex).toBe(LATER_INDEX);
    expect(restarted.group.term).toBe(leader.group.term);
  });

  it('of which another member reported is remembered before a snapshot is stored', async () => {
    const { cluster, externalOf } = await startDeleting();
    const leader = await cluster.waitLeader();
    const { group, member } = cluster.members.find((running) => !running.group.isLeader)!;
    const { group: leading } = leader;
    const snapshot = {
      index: LATER_INDEX - 10,
      term: leading.term,
      state: encodeValue(['a']),
      configuration: encodeValue(leading.configuration),
    };
    externalOf(member.id).reportedCommitIndex = LATER_INDEX;
    const store = group.log.storeSnapshot.bind(group.log);
    const savedAtStore: number[] = [];
    group.log.storeSnapshot = (stored) => {
      savedAtStore.push(group.log.savedCommitIndex);
      return store(stored);
    };
    await group.applier.install(snapshot, leading.configuration);
    expect(savedAtStore).toEqual([LATER_INDEX]);
  });

  /** A snapshot is in another file than the log, and could be durable before it. */
  it('is waited for by a snapshot if an entry has begun to save it', async () => {
    const { cluster, externalOf } = await startDeleting();
    const { group: leading } = await cluster.waitLeader();
    const { group, member, disk } = cluster.members.find(({ group: own }) => !own.isLeader)!;
    const stored: number[] = [];
    group.log.storeSnapshot = async ({ index }) => void stored.push(index);
    disk.stall();
    externalOf(member.id).reportedCommitIndex = LATER_INDEX;
    const entry = { index: 2, term: leading.term, kind: 'empty', data: new Uint8Array(0) } as const;
    const attached = group.applier.attachTo([entry]);
    await sleep(10);
    const snapshot = {
      index: LATER_INDEX - 10,
      term: leading.term,
      state: encodeValue(['a']),
      configuration: encodeValue(leading.configuration),
    };
    const installed = group.applier.install(snapshot, leading.configuration);
    await sleep(50);
    expect(stored).toEqual([]);
    disk.resume();
    await Promise.all([attached, installed]);
    expect(stored).toEqual([snapshot.index]);
  });
});
