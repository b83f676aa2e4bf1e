/** How a member votes whose disk was slow while it went from one leader to the next. */
import { join } from 'node:path';
import { expect, it, onTestFinished } from 'vitest';
import { FaultyDisk } from '../../tests/support/faulty-disk.js';
import { GROUP, ListMachine } from '../../tests/support/consensus-cluster.js';
import { LoopbackNetwork } from '../../tests/support/loopback-network.js';
import { temporaryFolder } from '../../tests/support/temporary-folder.js';
import { waitUntil } from '../../tests/support/wait-until.js';
import { sleep } from '../common/index.js';
import { type LogEntry, SnapshotStore, WriteAheadLog } from '../log-store/index.js';
import { createLogger } from '../observability/index.js';
import { type Method, MethodRouter, encodeValue } from '../wire/index.js';
import { type Member, encodeConfiguration } from './configuration.js';
import { GroupHost } from './group-host.js';
import { APPEND, SNAPSHOT, VOTE } from './messages.js';
import { checkConsensusOptions } from './options.js';
import type { ReplicatedGroup } from './replicated-group.js';

const EARLIER_TERM = 2;
const LATER_TERM = 3;
/** Every batch fills a segment, so that the next one is the first of its own. */
const SEGMENT_BYTES = 1;
const VOTERS: Member[] = ['own', 'earlier', 'later'].map((id) => {
  return { id, name: id, address: id, role: 'voter' };
});
const OWN_ID = 'own';
const BATCH_START_MS = 20;

interface OpenedMember {
  group: ReplicatedGroup;
  wal: WriteAheadLog;
  send<Request, Response>(method: Method<Request, Response>, request: Request): Promise<Response>;
}

async function openMember(folder: string, disk: FaultyDisk): Promise<OpenedMember> {
  const onFatal = (error: unknown): void => expect.unreachable(String(error));
  const wal = await WriteAheadLog.open({
    folder: join(folder, 'log'),
    segmentBytes: SEGMENT_BYTES,
    openFile: disk.openFile,
    onFatal,
  });
  const host = new GroupHost({
    ownId: OWN_ID,
    wal,
    snapshots: new SnapshotStore(join(folder, 'snapshots')),
    peers: new LoopbackNetwork().peersOf(OWN_ID),
    options: checkConsensusOptions({}),
    logger: createLogger({ member: OWN_ID }),
    onFatal,
    onLeadershipChange: () => undefined,
  });
  onTestFinished(() => host.stopNow());
  const router = new MethodRouter();
  host.registerHandlers(router);
  const group = await host.openGroup(GROUP, new ListMachine());
  const send = async <Request, Response>(
    method: Method<Request, Response>,
    request: Request,
  ): Promise<Response> =>
    (await router.find(method.name)!(request, { peerName: 'peer' })) as Response;
  return { group, wal, send };
}

function entriesUpTo(count: number): LogEntry[] {
  return Array.from({ length: count }, (_, offset) => {
    return { index: offset + 1, term: EARLIER_TERM, kind: 'command', data: encodeValue('earlier') };
  });
}

/**
 * A voter took entries of a leader of term 2 while its disk was slow, then the snapshot of the leader of term 3, which
 * holds a committed entry in the place of one of them. The marks of both waited for the disk together; the head of
 * the next segment put the snapshot's mark in front of the entries. After a restart the voter's log ended with an entry
 * of term 2 again, behind the snapshot of term 3, and it granted its vote to a member that holds only what the leader of term 2
 * had written: with that one's own vote a majority of three, and what was committed in term 3 is lost.
 *
 *     before the restart  last entry 2 of term 3
 *     after it            last entry 3 of term 2
 */
it('refuses its vote to a candidate that lacks what its snapshot holds, also after a restart', async () => {
  const folder = temporaryFolder();
  const disk = new FaultyDisk();
  const { group, wal, send } = await openMember(folder, disk);
  disk.stall();
  const base = { group: GROUP, to: OWN_ID };
  const ofEarlier = { ...base, from: 'earlier', term: EARLIER_TERM, commitIndex: 0 };
  const fromStart = { previousIndex: 0, previousTerm: 0 };
  const announced = send(APPEND, { ...ofEarlier, ...fromStart, entries: [] });
  // The new term is being written: what comes now waits for the batch after it.
  await sleep(BATCH_START_MS);
  const entries = entriesUpTo(3);
  const appended = send(APPEND, { ...ofEarlier, ...fromStart, entries });
  await waitUntil('entries wait for the disk', () => group.log.lastIndex === entries.length);
  const chunk = encodeValue(['a', 'b']);
  const installed = send(SNAPSHOT, {
    ...base,
    from: 'later',
    term: LATER_TERM,
    mark: { index: 2, term: LATER_TERM },
    configuration: encodeConfiguration({ members: VOTERS }),
    latestConfiguration: encodeConfiguration({ members: VOTERS }),
    stateBytes: chunk.length,
    offset: 0,
    chunk,
  });
  await waitUntil('snapshot adopted', () => group.log.lastTerm === LATER_TERM);
  disk.resume();
  await Promise.all([announced, appended, installed]);
  await wal.close();

  const restarted = await openMember(folder, new FaultyDisk());
  const candidate = { lastIndex: 3, lastTerm: EARLIER_TERM };
  const request = { ...base, from: 'earlier', term: LATER_TERM + 1, ...candidate };
  const rounds = { isPreVote: false, isTransfer: false };
  const { granted } = await restarted.send(VOTE, { ...request, ...rounds });
  expect.soft(restarted.group.log.lastTerm).toBe(LATER_TERM);
  expect(granted).toBe(false);
});
