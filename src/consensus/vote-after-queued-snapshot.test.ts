/** Votes of a member whose slow disk delayed writes across a change of leader. */
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
/** Every batch starts a new segment. */
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
 * Regression test: entries of one leader and the snapshot of the next one waited for the disk
 * together. The header of the next segment placed the snapshot mark before the entries, so after a
 * restart the log ended in the earlier term and the member voted for a candidate without the
 * committed entries.
 */
it('denies its vote to a candidate that lacks entries of its snapshot, also after a restart', async () => {
  const folder = temporaryFolder();
  const disk = new FaultyDisk();
  const { group, wal, send } = await openMember(folder, disk);
  disk.stall();
  const base = { group: GROUP, to: OWN_ID };
  const ofEarlier = { ...base, from: 'earlier', term: EARLIER_TERM, commitIndex: 0 };
  const fromStart = { previousIndex: 0, previousTerm: 0 };
  const announced = send(APPEND, { ...ofEarlier, ...fromStart, entries: [] });
  // The new term is being written, so the following records wait for the next batch.
  await sleep(BATCH_START_MS);
  const entries = entriesUpTo(3);
  const appended = send(APPEND, { ...ofEarlier, ...fromStart, entries });
  await waitUntil('entries queued', () => group.log.lastIndex === entries.length);
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
